#pragma once

#include "core/identifiers.h"
#include "traffic/choicereason.h"
#include "traffic/grouproom.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// The result of choosing a server for a call.
struct ServerChoice {
    ChoiceReason reason = ChoiceReason::NoServer;
    /// Empty if no server can take the call.
    BackendServerId server;
    /// Calls in progress there when it was chosen, divided by its slots.
    double load = 0;
    /// Number of servers that were compared.
    std::size_t candidates = 0;
    /// Servers that were skipped because they are cold and this host may not send calls to them now.
    std::size_t skippedCold = 0;
    /// Tokens of the beginning of the prompt that the server probably holds.
    std::uint64_t heldTokens = 0;
    /// Expected response time; 0 if it is not estimated.
    double expectedMs = 0;
    /// Some groups of the service make steps that are too long, and the server was chosen in a group selected before.
    bool isGroupSelected = false;
    /// The room in the server's group; nothing if the call's admission does not limit groups.
    std::optional<GroupRoom> room;

    bool hasServer() const
    {
        return !server.isEmpty();
    }
};

} // namespace Cardamomhill
