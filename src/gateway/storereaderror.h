#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class StoreReadErrorCode : std::uint8_t {
    Malformed,
    MissingField,
    UnknownValue,
};

constexpr auto nameTable(StoreReadErrorCode)
{
    return std::to_array<NamedValue<StoreReadErrorCode>>({
        {StoreReadErrorCode::Malformed, "malformed"},
        {StoreReadErrorCode::MissingField, "missing-field"},
        {StoreReadErrorCode::UnknownValue, "unknown-value"},
    });
}

/// Why an object of the store could not be parsed.
struct StoreReadError {
    StoreReadErrorCode code = StoreReadErrorCode::Malformed;
    std::string object;
    std::string cause;

    std::string message() const
    {
        return object + ": " + std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
