#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class EngineReadErrorCode : std::uint8_t {
    MalformedAnswer,
    /// A number is negative, too large or no whole number.
    OutOfRange,
    Refused,
    Unreachable,
};

constexpr auto nameTable(EngineReadErrorCode)
{
    return std::to_array<NamedValue<EngineReadErrorCode>>({
        {EngineReadErrorCode::MalformedAnswer, "malformed-answer"},
        {EngineReadErrorCode::OutOfRange, "out-of-range"},
        {EngineReadErrorCode::Refused, "refused"},
        {EngineReadErrorCode::Unreachable, "unreachable"},
    });
}

/// Why reading a report of an engine failed.
struct EngineReadError {
    EngineReadErrorCode code = EngineReadErrorCode::Unreachable;
    std::string cause;

    std::string message() const
    {
        return std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
