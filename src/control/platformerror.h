#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class PlatformErrorCode : std::uint8_t {
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

constexpr auto nameTable(PlatformErrorCode)
{
    return std::to_array<NamedValue<PlatformErrorCode>>({
        {PlatformErrorCode::Conflict, "conflict"},
        {PlatformErrorCode::HistoryGone, "history-gone"},
        {PlatformErrorCode::MalformedAnswer, "malformed-answer"},
        {PlatformErrorCode::NotFound, "not-found"},
        {PlatformErrorCode::NotSent, "not-sent"},
        {PlatformErrorCode::Unavailable, "unavailable"},
    });
}

/// Why a call to the platform failed.
struct PlatformError {
    PlatformErrorCode code = PlatformErrorCode::Unavailable;
    std::string cause;

    std::string message() const
    {
        return "platform: " + std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
