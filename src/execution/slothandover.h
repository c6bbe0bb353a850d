#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "core/result.h"
#include "execution/executionregistry.h"
#include "execution/handovererror.h"
#include "execution/handovermessages.h"
#include "execution/ownershipupdater.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill
{

/// Hands slots of one service over to other agents, takes them over from others, and claims slots after a start.
///
/// An agent serves a slot only after this run of its process has changed the slot's row itself and read the change
/// back; it is not enough that a table names the agent. So neither a stale table nor a write of an earlier run lets two
/// agents serve a slot.
class SlotHandover
{
public:
    /// `random` must be seeded differently in each run of the process, because operation ids are drawn from it.
    SlotHandover(BackendServerId self, ExecutionRegistry &registry, Random &random);

    /// Handles a copy of the table, which may be old. Starts to claim the slots that it assigns to this agent, and
    /// releases slots that an operator has assigned to another agent.
    void applyTable(const SlotTable &table);

    /// Starts to hand a slot over. It is sealed only after a read of the table has confirmed that this agent owns it.
    Result<void, HandoverError> startHandover(SlotNumber slot, const BackendServerId &to);

    /// Whether a handover of the slot to another agent is in progress.
    bool isHandingOver(SlotNumber slot) const
    {
        return m_outgoing.contains(slot);
    }

    void receive(const BackendServerId &from, const SlotTransfer &transfer);
    void receive(const TransferReply &reply);

    /// Handle responses of the platform; see OwnershipUpdater.
    void handleTableRead(std::uint64_t call, const SlotTable &table, SteadyTime now, WallTime wall);
    void handleWriteResponse(std::uint64_t call, SteadyTime now);
    void handleCallFailure(std::uint64_t call, SteadyTime now);

    /// Returns what to send now. Call after each event and at least every 100 ms.
    std::vector<HandoverAction> poll(SteadyTime now);

private:
    enum class HandoverStep { ConfirmingOwnership, Draining, Transferring, Reclaiming };

    struct OutgoingHandover {
        BackendServerId to;
        TransferId transfer;
        HandoverStep step = HandoverStep::ConfirmingOwnership;
        SteadyTime deadline;
        SteadyTime nextSend;
    };

    struct IncomingTransfer {
        BackendServerId from;
        TransferId transfer;
    };

    void apply(const OwnershipOutcome &outcome, WallTime wall);
    void sealConfirmed(const SlotTable &table);
    void
    pollOutgoing(SlotNumber slot, OutgoingHandover &handover, SteadyTime now, std::vector<HandoverAction> &actions);
    void reclaim(SlotNumber slot, OutgoingHandover &handover);
    void releaseSlot(SlotNumber slot);
    void reply(const IncomingTransfer &incoming, SlotNumber slot, bool accepted);

    BackendServerId m_self;
    ExecutionRegistry &m_registry;
    Random &m_random;
    OwnershipUpdater m_updater;
    /// The generation that the row of a slot got when this run acquired the slot.
    std::array<std::uint64_t, slotCount> m_generations{};
    std::map<SlotNumber, OutgoingHandover> m_outgoing;
    /// The transfer by which a slot was received, kept while the slot is owned in order to answer duplicates of it.
    std::map<SlotNumber, IncomingTransfer> m_incoming;
    std::vector<HandoverAction> m_replies;
};

} // namespace Cardamomhill
