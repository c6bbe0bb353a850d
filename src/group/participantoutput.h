#pragma once

#include "group/engineorder.h"
#include "group/groupmessage.h"

#include <vector>

namespace Cardamomhill
{

/// What a participant wants done, in order.
struct ParticipantOutput {
    /// To be sent to the agent of `coordinatorRank`.
    std::vector<GroupMessage> messages;
    /// To be sent to the engine, each to be answered with onEngineReply.
    std::vector<EngineOrder> orders;
    /// Maps whose weights the engine is to load; onStaged reports the end.
    std::vector<ExpertMapId> stage;
    /// An accepted proposal stays unresolved: a coordinator in this agent should take over.
    bool takeoverDue = false;
};

} // namespace Cardamomhill
