#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// The load of a server, as the server states it in the headers of an answer.
struct ServerStatedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Status and headers of a server's answer.
struct AnswerHead {
    unsigned status = 0;
    /// The id of the call that is answered; empty if the server did not state it.
    std::string callId;
    /// The answer carries a signature of the server.
    bool isSigned = false;
    /// The server states that it did not run the call.
    bool isNotRun = false;
    /// Another instance answered than the one that the call was addressed to.
    bool isOtherInstance = false;
    /// The body has a content encoding, which no caller asked for.
    bool hasContentEncoding = false;
    /// Type and subtype of the body in lower case, without parameters; empty if not stated.
    std::string mediaType;
    /// The server states that it is shutting down and wants no new calls.
    bool isLeaving = false;
    /// When the caller may come back. What that means depends on the status.
    std::optional<Milliseconds> retryAfter;
    std::optional<ServerStatedLoad> load;
    /// How long the server keeps an idle connection open.
    std::optional<Seconds> keepAlive;
    /// How much longer the server is cold.
    std::optional<Milliseconds> coldRemaining;

    /// For how long the server wants no calls from this host, if it turned this one away for that reason.
    std::optional<Milliseconds> holdTime() const
    {
        constexpr unsigned Unavailable = 503;
        return status == Unavailable ? retryAfter : std::nullopt;
    }

    bool isSuccess() const
    {
        constexpr unsigned FirstSuccess = 200;
        constexpr unsigned FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

} // namespace Cardamomhill
