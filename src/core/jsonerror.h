#pragma once

#include "core/nametable.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class JsonErrorCode : std::uint8_t {
    /// Not JSON: wrong syntax, bytes that are not UTF-8, half of a surrogate pair, or the text ends too early.
    Malformed,
    /// A number beyond the range of a double.
    NumberTooLarge,
    /// Arrays and objects are nested deeper than MaxJsonDepth.
    TooDeep,
};

constexpr auto nameTable(JsonErrorCode)
{
    return std::to_array<NamedValue<JsonErrorCode>>({
        {JsonErrorCode::Malformed, "malformed"},
        {JsonErrorCode::NumberTooLarge, "number-too-large"},
        {JsonErrorCode::TooDeep, "too-deep"},
    });
}

/// Why a text could not be parsed as JSON. Contains nothing of the text, which may be long or unprintable.
struct JsonError {
    JsonErrorCode code = JsonErrorCode::Malformed;
    /// Position in the text, if known.
    std::size_t offset = 0;

    std::string message() const
    {
        return "JSON: " + std::string(nameOf(code)) + " at byte " + std::to_string(offset);
    }
};

} // namespace Cardamomhill
