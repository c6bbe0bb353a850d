#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class PlatformCallErrorCode : std::uint8_t {
    /// The object has another version than the write expected.
    Conflict,
    /// The platform no longer has the changes since the given revision.
    HistoryGone,
    MalformedAnswer,
    NotFound,
    /// The call did not leave this process.
    NotSent,
    /// The call left, and its answer did not arrive or was a server error.
    Unavailable,
};

constexpr auto nameTable(PlatformCallErrorCode)
{
    return std::to_array<NamedValue<PlatformCallErrorCode>>({
        {PlatformCallErrorCode::Conflict, "conflict"},
        {PlatformCallErrorCode::HistoryGone, "history-gone"},
        {PlatformCallErrorCode::MalformedAnswer, "malformed-answer"},
        {PlatformCallErrorCode::NotFound, "not-found"},
        {PlatformCallErrorCode::NotSent, "not-sent"},
        {PlatformCallErrorCode::Unavailable, "unavailable"},
    });
}

/// Why a call to the platform failed.
struct PlatformCallError {
    PlatformCallErrorCode code = PlatformCallErrorCode::Unavailable;
    std::string cause;

    std::string message() const
    {
        return "platform: " + std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
