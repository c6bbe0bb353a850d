#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class StoreParseErrorCode : std::uint8_t {
    Malformed,
    MissingField,
    /// A number is negative, too large or no whole number, or an address has no valid port.
    OutOfRange,
    UnknownValue,
};

constexpr auto nameTable(StoreParseErrorCode)
{
    return std::to_array<NamedValue<StoreParseErrorCode>>({
        {StoreParseErrorCode::Malformed, "malformed"},
        {StoreParseErrorCode::MissingField, "missing-field"},
        {StoreParseErrorCode::OutOfRange, "out-of-range"},
        {StoreParseErrorCode::UnknownValue, "unknown-value"},
    });
}

/// Why an object of the store could not be parsed.
struct StoreParseError {
    StoreParseErrorCode code = StoreParseErrorCode::Malformed;
    std::string object;
    std::string cause;

    std::string message() const
    {
        return object + ": " + std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
