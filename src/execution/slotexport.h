#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/nametable.h"
#include "execution/idempotencykey.h"
#include "execution/slotnumber.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// What the registry knows about a key.
enum class RecordState : std::uint8_t {
    Running,
    Done,
    /// The answer exceeded the limit for one answer.
    DoneAnswerNotKept,
    /// The engine failed; the request may have run.
    Unknown,
    Refused,
};

constexpr auto nameTable(RecordState)
{
    return std::to_array<NamedValue<RecordState>>({
        {RecordState::Running, "running"},
        {RecordState::Done, "done"},
        {RecordState::DoneAnswerNotKept, "done-answer-not-kept"},
        {RecordState::Unknown, "unknown"},
        {RecordState::Refused, "refused"},
    });
}

/// A record in the form in which it is transferred to another owner.
struct ExportedRecord {
    OrganisationId organisation;
    IdempotencyKey key;
    std::uint64_t digest;
    RecordState state;
    std::string answer;
};

/// Everything that a new owner needs to serve a slot.
struct SlotExport {
    SlotNumber slot = 0;
    /// Keys at or below this time that have no record are answered "unknown".
    WallTime floor = WallTime::min();
    /// Keys above the floor and at or below this time that have no record are answered "not run": a key of this time
    /// was refused without a record, because the registry was full.
    WallTime refusedUpTo = WallTime::min();
    std::vector<ExportedRecord> records;
};

} // namespace Cardamomhill
