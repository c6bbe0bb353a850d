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

/// Moves the slots of one service between agents, as old owner and as new owner, and claims slots after a start.
///
/// An agent serves a slot only after this run of its process has changed the slot's row itself and read the change
/// back; a table that merely names the agent is no permission. So neither a stale table nor a write of an earlier run
/// lets two agents serve a slot.
class SlotHandover
{
public:
    /// `random` must be seeded differently in each run, because operation ids are drawn from it.
    SlotHandover(BackendServerId self, ExecutionRegistry &registry, Random &random);

    /// A copy of the table from any source and of any age. Claims slots that it names for this agent, and releases
    /// slots that an operator gave to another agent.
    void observe(const SlotTable &table);

    /// Starts to move a slot. It is sealed only after the platform has answered a read.
    Result<void, HandoverError> give(SlotNumber slot, const BackendServerId &to);

    /// Whether a handover of the slot to another agent is in progress.
    bool isGiving(SlotNumber slot) const
    {
        return m_gives.contains(slot);
    }

    void receive(const BackendServerId &from, const SlotTransfer &transfer);
    void receive(const TransferReply &reply);

    /// Responses of the platform; see OwnershipUpdater.
    void tableRead(std::uint64_t call, const SlotTable &table, SteadyTime now, WallTime wall);
    void writeEnded(std::uint64_t call, SteadyTime now);
    void callFailed(std::uint64_t call, SteadyTime now);

    /// What to send now. Call after each event and at least every 100 ms.
    std::vector<HandoverAction> poll(SteadyTime now);

private:
    enum class GiveStep { Checking, Draining, Transferring, TakingBack };

    struct Give {
        BackendServerId to;
        TransferId transfer;
        GiveStep step = GiveStep::Checking;
        SteadyTime deadline;
        SteadyTime nextSend;
    };

    struct Take {
        BackendServerId from;
        TransferId transfer;
    };

    void apply(const OwnershipOutcome &outcome, WallTime wall);
    void startChecked(const SlotTable &table);
    void pollGive(SlotNumber slot, Give &give, SteadyTime now, std::vector<HandoverAction> &actions);
    void takeBack(SlotNumber slot, Give &give);
    void releaseSlot(SlotNumber slot);
    void reply(const Take &take, SlotNumber slot, bool taken);

    BackendServerId m_self;
    ExecutionRegistry &m_registry;
    Random &m_random;
    OwnershipUpdater m_updater;
    /// The generation under which this run holds a slot.
    std::array<std::uint64_t, slotCount> m_generations{};
    std::map<SlotNumber, Give> m_gives;
    /// The transfer by which a slot came here, kept while the slot is held to answer its duplicates.
    std::map<SlotNumber, Take> m_takes;
    std::vector<HandoverAction> m_replies;
};

} // namespace Cardamomhill
