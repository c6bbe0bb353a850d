#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// The load that a server states in an answer.
struct StatedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of a server's answer says beside its status.
struct AnswerHead {
    unsigned status = 0;
    /// The id of the call that it answers; empty if the server did not say.
    std::string callId;
    /// Carries the server's signature.
    bool isSigned = false;
    /// The server states that it did not run the call.
    bool isNotRun = false;
    /// The server runs as another instance than the one that was asked.
    bool isOtherInstance = false;
    /// The body has an encoding that no caller asked for.
    bool isEncoded = false;
    std::optional<StatedLoad> load;
    /// How long the server keeps the connection without a request.
    std::optional<Seconds> keepAlive;

    bool isSuccess() const
    {
        constexpr unsigned FirstSuccess = 200;
        constexpr unsigned FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

} // namespace Cardamomhill
