#pragma once

#include "group/engineorder.h"
#include "group/groupmessage.h"

#include <vector>

namespace Cardamomhill
{

/// The actions that a participant requests, each list in order.
struct ParticipantOutput {
    /// To be sent to the agent of their `coordinatorRank`.
    std::vector<GroupMessage> messages;
    /// To be sent to the engine; each reply goes to onEngineReply.
    std::vector<EngineOrder> orders;
    /// Maps whose weights the engine must load; report completion with onStaged.
    std::vector<ExpertMapId> stage;
    /// An accepted proposal is still unresolved, and the coordinator of this agent should take over.
    bool takeoverDue = false;
};

} // namespace Cardamomhill
