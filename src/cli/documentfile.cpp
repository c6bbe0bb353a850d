#include "cli/documentfile.h"

#include <array>
#include <fstream>
#include <iostream>

namespace Cardamomhill::internal
{

namespace
{

/// The parsed document takes about ten times as much memory.
constexpr std::size_t MaxBytes = std::size_t{64} * 1024 * 1024;

Result<std::string, DocumentFileError> readAll(std::istream &input)
{
    constexpr std::size_t PieceBytes = 64 * 1024;
    std::array<char, PieceBytes> piece{};
    std::string text;
    while (input.good()) {
        input.read(piece.data(), piece.size());
        text.append(piece.data(), static_cast<std::size_t>(input.gcount()));
        if (text.size() > MaxBytes) {
            return failure(DocumentFileError::TooLarge);
        }
    }
    // A directory can be opened, but not read.
    if (input.bad() || !input.eof()) {
        return failure(DocumentFileError::Unreadable);
    }
    return text;
}

} // namespace

Result<std::string, DocumentFileError> readDocumentFile(const std::string &path)
{
    if (path == StandardInput) {
        return readAll(std::cin);
    }
    std::ifstream file(path, std::ios::binary);
    return readAll(file);
}

} // namespace Cardamomhill::internal
