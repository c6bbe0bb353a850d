#pragma once

#include "core/identifiers.h"
#include "traffic/choicereason.h"

namespace Cardamomhill
{

/// A decision about where to send a call.
struct ServerChoice {
    ChoiceReason reason = ChoiceReason::NoServer;
    /// Empty if no server can take the call.
    BackendServerId server;
    /// Work in progress there, in parts of its slots, when it was chosen.
    double load = 0;
    std::size_t candidates = 0;

    bool hasServer() const
    {
        return !server.isEmpty();
    }
};

} // namespace Cardamomhill
