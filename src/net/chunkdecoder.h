#pragma once

#include "core/result.h"
#include "net/decodedpiece.h"
#include "net/neterror.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Cardamomhill
{

/// Decodes a body in chunks (RFC 9112, section 7.1) from input that arrives in pieces of any size. Extensions and
/// trailer fields are checked and discarded, never kept, so the memory used does not depend on the input.
class ChunkDecoder
{
public:
    /// Decodes up to the end of the next data in the input. Fails if the input is no body in chunks.
    Result<DecodedPiece, NetError> decode(std::string_view input);

    /// Whether the body is complete. Input that follows belongs to the next message.
    bool isDone() const;

private:
    enum class State : std::uint8_t {
        /// Before the first digit of a size.
        SizeStart,
        Size,
        Extension,
        SizeLineFeed,
        Data,
        DataReturn,
        DataLineFeed,
        /// At the start of a line after the last chunk.
        TrailerStart,
        TrailerName,
        TrailerValue,
        TrailerLineFeed,
        FinalLineFeed,
        Done,
    };

    Result<void, NetError> checkLimits() const;
    /// Advances by one byte outside data. Returns false if the byte is not allowed there.
    bool advance(char byte);
    bool advanceSize(char byte);
    State afterSize() const;

    State m_state = State::SizeStart;
    /// Bytes left in the current chunk; while its size is read, the size so far.
    std::uint64_t m_remaining = 0;
    /// Bytes of the current line with a size, and of the trailer section, so far.
    std::size_t m_sizeLineBytes = 0;
    std::size_t m_trailerBytes = 0;
};

} // namespace Cardamomhill
