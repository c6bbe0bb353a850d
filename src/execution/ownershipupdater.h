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

/// The outcome of the attempt to acquire one slot.
struct OwnershipOutcome {
    SlotNumber slot;
    bool acquired;
    std::uint64_t generation;
};

/// Acquires slots for one agent by conditional updates of the slot table: after a start, when it takes a slot over from
/// another agent, and when it takes one back. One write serves all pending slots. After each write, whatever its
/// response, the table is read; a slot counts as acquired only if its row carries the operation id of this attempt, so
/// the outcome is certain even when a response was lost.
///
/// A delayed write cannot take effect after the outcome was reported: it applies only to the table version that it
/// names, and an outcome is reported only once the row has changed, so the table is past that version.
class OwnershipUpdater
{
public:
    OwnershipUpdater(BackendServerId self, Random &random);

    /// Tries to make this agent the owner of a slot as long as its row names `expectedOwner` and has
    /// `expectedGeneration` or, without one, the generation of the first read.
    void acquire(SlotNumber slot, BackendServerId expectedOwner, std::optional<std::uint64_t> expectedGeneration);

    bool isPending(SlotNumber slot) const
    {
        return m_pending.contains(slot);
    }

    /// Requests a read of the table that starts after this call, even if no slot is pending.
    void requestRead();

    /// The next call to the platform, if one is due. At most one call is outstanding; it times out after 2 s.
    std::optional<SlotTableCall> poll(SteadyTime now);

    /// Handles the response to a read. Returns nothing if the call has timed out.
    std::optional<std::vector<OwnershipOutcome>>
    handleTableRead(std::uint64_t call, const SlotTable &table, SteadyTime now);

    /// Handles the response to a write, whether it took effect or failed because the table has another version.
    void handleWriteResponse(std::uint64_t call, SteadyTime now);

    /// Handles a call that failed: the platform could not be reached or answered with an error.
    void handleCallFailure(std::uint64_t call, SteadyTime now);

private:
    struct PendingUpdate {
        BackendServerId expectedOwner;
        std::optional<std::uint64_t> expectedGeneration;
        OperationId operation;
    };

    enum class RowCheck { Acquired, Lost, Unchanged, Stale };

    RowCheck check(const PendingUpdate &update, const SlotEntry &entry) const;
    OperationId generateOperationId();
    void scheduleRetry(SteadyTime now);
    bool isOutstanding(std::uint64_t call) const;

    BackendServerId m_self;
    Random &m_random;
    std::map<SlotNumber, PendingUpdate> m_pending;
    std::optional<SlotTable> m_nextWrite;
    bool m_isReadRequested = false;
    std::uint64_t m_lastCall = 0;
    bool m_isCallOutstanding = false;
    SteadyTime m_sentAt;
    SteadyTime m_nextCallAt = SteadyTime::min();
    unsigned m_retries = 0;
};

} // namespace Cardamomhill
