#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "execution/clockbounds.h"
#include "execution/decision.h"
#include "execution/executionerror.h"
#include "execution/executionlimits.h"
#include "execution/idempotencykey.h"
#include "execution/slotexport.h"
#include "execution/slotnumber.h"
#include "execution/slotphase.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace Cardamomhill
{

namespace internal
{
class RecordTable;
} // namespace internal

/// One attempt of a non-idempotent request.
struct ExecutionRequest {
    OrganisationId organisation;
    IdempotencyKey key;
    /// Hash over method, path and body: tells a retry from another request with the same key.
    std::uint64_t digest;
};

/// Decides, for one service on one agent, which non-idempotent requests run, so that each runs at most once.
/// docs/execution.md derives the bound on clocks.
///
/// Within one run of the process no bound on clocks is needed: every accepted key has a record until its lifetime ends,
/// and a dropped record raises the floor of its slot to the time of its key, so a clock that steps back cannot make a
/// dropped key acceptable again. `ClockBounds::maximumClockSkew` matters only where an owner starts without the records
/// of an earlier one (serveWithoutRecords()).
class ExecutionRegistry
{
public:
    /// `lifetime` must exceed the longest deadline of a request; a running request keeps its record until it ends.
    ExecutionRegistry(ExecutionLimits limits, ClockBounds bounds, Milliseconds lifetime);
    ~ExecutionRegistry();
    ExecutionRegistry(ExecutionRegistry &&) noexcept;
    ExecutionRegistry &operator=(ExecutionRegistry &&) noexcept;

    /// Decides about an attempt. After Execute, the caller runs the request and calls complete(),
    /// completeUnknown() or completeNotRun() exactly once, also if the engine failed or the caller disconnected.
    Decision decide(const ExecutionRequest &request, WallTime now);

    /// The request ran; keeps its answer for replays.
    Result<void, ExecutionError>
    complete(const OrganisationId &organisation, const IdempotencyKey &key, std::string answer);

    /// The engine failed: the request may have run.
    Result<void, ExecutionError> completeUnknown(const OrganisationId &organisation, const IdempotencyKey &key);

    /// The request certainly never reached the engine: from now on the key is answered "not run".
    Result<void, ExecutionError> completeNotRun(const OrganisationId &organisation, const IdempotencyKey &key);

    /// Examines the `limit` oldest records and drops those whose lifetime ended, except running ones. Returns how many
    /// it dropped. decide() drops a few itself; the agent also calls this regularly so that an idle registry shrinks.
    std::size_t removeExpired(WallTime now, std::size_t limit);

    /// Sets the lifetime of keys after a change of the service object.
    void setLifetime(Milliseconds lifetime);

    /// Refuses new keys in all slots from now on, because the agent is leaving. Cannot be undone.
    void refuseNewKeys();

    bool isLeaving() const
    {
        return m_leaving;
    }

    /// Serves a slot without the records of an earlier owner. Call only after the agent's own claim in the slot table
    /// is confirmed. Keys that an earlier owner may have accepted are answered "unknown".
    Result<void, ExecutionError> serveWithoutRecords(SlotNumber slot, WallTime now);

    /// Stops accepting new keys in a slot that is to be handed over.
    Result<void, ExecutionError> seal(SlotNumber slot);

    /// Whether a sealed slot has no running request.
    bool isDrained(SlotNumber slot) const;

    /// Returns the content of a sealed and drained slot. From then on, keys without a record are rejected. May be
    /// called again.
    Result<SlotExport, ExecutionError> exportSlot(SlotNumber slot);

    /// Stores the content of a slot that another agent exported, without serving it. Stores nothing on an error.
    Result<void, ExecutionError> importSlot(const SlotExport &content);

    /// Serves an imported slot. Call only after the agent's own update of the slot table is confirmed.
    Result<void, ExecutionError> activate(SlotNumber slot);

    /// Serves a sealed or exported slot again. Call only after the agent took it back in the slot table.
    Result<void, ExecutionError> unseal(SlotNumber slot);

    /// Drops the records of a slot that another agent owns now, or of an import that is not needed. The floor rises to
    /// the highest key time that the slot knew.
    void release(SlotNumber slot);

    SlotPhase phase(SlotNumber slot) const
    {
        return m_slots[slot].phase;
    }

    /// Keys of the slot at or below this time that have no record are answered "unknown". An owner that started
    /// without records executes nothing until its clock is past this time minus `ClockBounds::maximumKeyLead`.
    WallTime floor(SlotNumber slot) const
    {
        return m_slots[slot].floor;
    }

    std::size_t recordCount() const;

    /// The size of all kept answers, plus `ExecutionLimits::maximumBytesPerAnswer` for each running request.
    std::size_t answerBytes() const
    {
        return m_answerBytes;
    }

private:
    struct Slot {
        SlotPhase phase = SlotPhase::NotOwned;
        WallTime floor = WallTime::min();
        /// See SlotExport.
        WallTime refusedUpTo = WallTime::min();
        std::uint32_t running = 0;
    };

    Decision decideWithoutRecord(const ExecutionRequest &request, SlotNumber slot, WallTime now);
    Decision refuse(const ExecutionRequest &request, Slot &slot, DecisionReason reason);
    bool hasRoomForAnswer() const;
    Result<void, ExecutionError>
    finish(const OrganisationId &organisation, const IdempotencyKey &key, RecordState state, std::string answer);
    Result<void, ExecutionError> changePhase(SlotNumber slot, SlotPhase from, SlotPhase to);

    ExecutionLimits m_limits;
    ClockBounds m_bounds;
    Milliseconds m_lifetime;
    bool m_leaving = false;
    std::size_t m_answerBytes = 0;
    std::array<Slot, slotCount> m_slots;
    std::unique_ptr<internal::RecordTable> m_records;
};

} // namespace Cardamomhill
