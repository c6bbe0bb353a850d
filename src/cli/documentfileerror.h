#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill::internal
{

/// Why a file cannot be used as a configuration document.
enum class DocumentFileError : std::uint8_t {
    Unreadable,
    /// Larger than any configuration document.
    TooLarge,
};

constexpr auto nameTable(DocumentFileError)
{
    return std::to_array<NamedValue<DocumentFileError>>({
        {DocumentFileError::Unreadable, "cannot be read"},
        {DocumentFileError::TooLarge, "larger than 64 MiB"},
    });
}

} // namespace Cardamomhill::internal
