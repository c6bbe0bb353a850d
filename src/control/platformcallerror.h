#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class PlatformCallErrorCode : std::uint8_t {
    /// The object's version differs from the one that the write expected.
    Conflict,
    /// The platform no longer keeps the changes since the given revision.
    HistoryGone,
    MalformedAnswer,
    NotFound,
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no answer or one with an unexpected error status arrived.
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

    /// Whether the store itself answered, so that it is available.
    bool isAnswer() const
    {
        return code != PlatformCallErrorCode::NotSent && code != PlatformCallErrorCode::Unavailable;
    }

    std::string message() const
    {
        return "platform: " + std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill
