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

/// Decides for one service on one agent which non-idempotent requests run, so that each runs at most once. See
/// docs/execution.md for the bound on clocks.
///
/// Inside one run of the process no bound on clocks is needed: every accepted key has a record until its lifetime
/// ends, and the highest time of a dropped record becomes part of the floor of its slot, so a clock that steps back
/// cannot make a dropped key acceptable again. The bound `ClockBounds::clockDifference` counts only where an owner
/// starts without the records of an earlier one (serve()).
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

    /// The request provably never reached the engine: the key is refused for good.
    Result<void, ExecutionError> completeNotRun(const OrganisationId &organisation, const IdempotencyKey &key);

    /// Drops up to `limit` records whose lifetime ended. decide() drops a few itself; the agent calls this once a
    /// second so that an idle registry shrinks too. Returns how many it dropped.
    std::size_t removeExpired(WallTime now, std::size_t limit);

    /// The lifetime of keys that the service object now gives.
    void setLifetime(Milliseconds lifetime);

    /// The agent is leaving: new keys are refused from now on, in all slots. Final.
    void leave();

    bool isLeaving() const
    {
        return m_leaving;
    }

    /// Starts to serve a slot without records of an earlier owner. Call only after the agent's own claim in the slot
    /// table is confirmed. Keys that an earlier owner may have accepted are answered "unknown".
    Result<void, ExecutionError> serve(SlotNumber slot, WallTime now);

    /// Accepts no new keys in a slot that is to move.
    Result<void, ExecutionError> seal(SlotNumber slot);

    /// Whether a sealed slot has no running request.
    bool isDrained(SlotNumber slot) const;

    /// The content of a sealed and drained slot; from now on nothing new is said about its keys. May be repeated.
    Result<SlotExport, ExecutionError> exportSlot(SlotNumber slot);

    /// Stores the content of a slot that another agent exported, without serving it. Keeps nothing on an error.
    Result<void, ExecutionError> importSlot(const SlotExport &content);

    /// Serves an imported slot. Call only after the agent's own update of the slot table is confirmed.
    Result<void, ExecutionError> activate(SlotNumber slot);

    /// Serves a sealed or exported slot again. Call only after the agent took it back in the slot table.
    Result<void, ExecutionError> unseal(SlotNumber slot);

    /// Forgets a slot that another agent owns now, or an import that is not needed.
    void release(SlotNumber slot);

    SlotPhase phase(SlotNumber slot) const
    {
        return m_slots[slot].phase;
    }

    /// Keys of the slot at or below this time that have no record are answered "unknown". An owner that started
    /// without records executes nothing until its clock is past this time, less what it accepts ahead.
    WallTime floor(SlotNumber slot) const
    {
        return m_slots[slot].floor;
    }

    std::size_t recordCount() const;

    /// Bytes of answers, running requests counted with the largest answer that may be kept.
    std::size_t answerBytes() const
    {
        return m_answerBytes;
    }

private:
    struct Slot {
        SlotPhase phase = SlotPhase::NotOwned;
        WallTime floor = WallTime::min();
        WallTime refusedThrough = WallTime::min();
        std::uint32_t running = 0;
    };

    Decision decideWithoutRecord(const ExecutionRequest &request, SlotNumber slot, WallTime now);
    Decision refuse(const ExecutionRequest &request, Slot &slot, DecisionReason reason);
    bool hasRoomForAnswer() const;
    Result<void, ExecutionError>
    finish(const OrganisationId &organisation, const IdempotencyKey &key, RecordState state, std::string answer);
    Result<void, ExecutionError> move(SlotNumber slot, SlotPhase from, SlotPhase to);

    ExecutionLimits m_limits;
    ClockBounds m_bounds;
    Milliseconds m_lifetime;
    bool m_leaving = false;
    std::size_t m_answerBytes = 0;
    std::array<Slot, slotCount> m_slots;
    std::unique_ptr<internal::RecordTable> m_records;
};

} // namespace Cardamomhill
