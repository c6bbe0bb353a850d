#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "execution/handovermessages.h"
#include "execution/slottable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// What became of the attempt to obtain one slot.
struct OwnershipOutcome {
    SlotNumber slot;
    bool gained;
    std::uint64_t generation;
};

/// Obtains slots for one agent by conditional updates of the slot table: claims after a start, takeovers and taking
/// back. One write serves all pending slots. After each write, whatever its response, the table is read; only a row
/// that carries the operation of this attempt counts as gained, so a lost response needs no guess.
///
/// A write that is still on its way cannot do harm later: it applies only to the version it names, and the outcome
/// of a slot is given only once its row has changed, so that version has passed.
class OwnershipUpdater
{
public:
    OwnershipUpdater(BackendServerId self, Random &random);

    /// Tries to make this agent the owner of a slot as long as the table names `expectedOwner` for it, at
    /// `expectedGeneration` or, without one, at the generation of the first read.
    void begin(SlotNumber slot, BackendServerId expectedOwner, std::optional<std::uint64_t> expectedGeneration);

    bool isPending(SlotNumber slot) const
    {
        return m_goals.contains(slot);
    }

    /// Asks for a read of the table that starts after this call, also when no slot is pending.
    void requestRead();

    /// The next call to the platform, if one is due. At most one call is outstanding; one without response for 2 s
    /// counts as lost.
    std::optional<TableCall> poll(SteadyTime now);

    /// The response to a read. Returns nothing if the call was given up.
    std::optional<std::vector<OwnershipOutcome>> tableRead(std::uint64_t call, const SlotTable &table, SteadyTime now);

    /// The response to a write, whether it applied or met another version.
    void writeEnded(std::uint64_t call, SteadyTime now);

    /// The platform could not be reached or answered with an error.
    void callFailed(std::uint64_t call, SteadyTime now);

private:
    struct Goal {
        BackendServerId expectedOwner;
        std::optional<std::uint64_t> expectedGeneration;
        OperationId operation;
    };

    enum class RowCheck { Gained, Lost, Unchanged, Stale };

    RowCheck check(const Goal &goal, const SlotEntry &entry) const;
    OperationId drawOperation();
    void retryLater(SteadyTime now);
    bool isOutstanding(std::uint64_t call) const;

    BackendServerId m_self;
    Random &m_random;
    std::map<SlotNumber, Goal> m_goals;
    std::optional<SlotTable> m_nextWrite;
    bool m_readWanted = false;
    std::uint64_t m_lastCall = 0;
    bool m_outstanding = false;
    SteadyTime m_sentAt;
    SteadyTime m_notBefore = SteadyTime::min();
    unsigned m_retries = 0;
};

} // namespace Cardamomhill
