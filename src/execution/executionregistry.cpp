#include "execution/executionregistry.h"

#include "execution/recordtable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Cardamomhill
{

namespace
{

// Each decision adds at most one record, so dropping more than one keeps expired records from piling up. The bound
// keeps a decision short when the clock steps forward and many records expire at once.
constexpr std::size_t recordsExaminedPerDecision = 16;

ExecutionError slotError(ExecutionErrorCode code, SlotNumber slot)
{
    return ExecutionError{code, "slot " + std::to_string(slot)};
}

Decision decideFromRecord(const internal::ExecutionRecord &record, std::uint64_t digest)
{
    if (record.digest != digest) {
        return {DecisionKind::DigestMismatch, DecisionReason::RecordExists};
    }
    switch (record.state) {
    case RecordState::Running:
        return {DecisionKind::Wait, DecisionReason::RecordExists};
    case RecordState::Done:
        return {DecisionKind::Replay, DecisionReason::RecordExists, record.answer};
    case RecordState::DoneAnswerNotKept:
        return {DecisionKind::Replay, DecisionReason::AnswerNotKept};
    case RecordState::Unknown:
        return {DecisionKind::Unknown, DecisionReason::ExecutionFailed};
    case RecordState::Refused:
        break;
    }
    return {DecisionKind::NotRun, DecisionReason::RefusedEarlier};
}

} // namespace

ExecutionRegistry::ExecutionRegistry(ExecutionLimits limits, ClockBounds bounds, Milliseconds lifetime)
    : m_limits(limits)
    , m_bounds(bounds)
    , m_lifetime(lifetime)
    , m_records(std::make_unique<internal::RecordTable>())
{
}

ExecutionRegistry::~ExecutionRegistry() = default;
ExecutionRegistry::ExecutionRegistry(ExecutionRegistry &&) noexcept = default;
ExecutionRegistry &ExecutionRegistry::operator=(ExecutionRegistry &&) noexcept = default;

Decision ExecutionRegistry::decide(const ExecutionRequest &request, WallTime now)
{
    removeExpired(now, recordsExaminedPerDecision);
    const SlotNumber slot = request.key.slot(request.organisation);
    const SlotPhase phase = m_slots[slot].phase;
    if (phase == SlotPhase::NotOwned || phase == SlotPhase::Imported) {
        return {DecisionKind::Rejected, DecisionReason::NotOwner};
    }
    const auto &records = m_records->get<internal::ByIdentity>();
    const auto record = records.find(std::make_tuple(request.key, internal::SharedOrganisation(request.organisation)));
    if (record != records.end()) {
        return decideFromRecord(*record, request.digest);
    }
    // The next owner may already be deciding about keys that are not in the export.
    if (phase == SlotPhase::Exported) {
        return {DecisionKind::Rejected, DecisionReason::SlotSealed};
    }
    return decideWithoutRecord(request, slot, now);
}

Decision ExecutionRegistry::decideWithoutRecord(const ExecutionRequest &request, SlotNumber slotNumber, WallTime now)
{
    Slot &slot = m_slots[slotNumber];
    const WallTime time = request.key.time();
    if (time > now + m_bounds.maximumKeyLead) {
        return {DecisionKind::Rejected, DecisionReason::KeyTimeAhead};
    }
    if (time <= slot.floor) {
        return {DecisionKind::Unknown, DecisionReason::KeyTimeBelowFloor};
    }
    if (time <= now - m_lifetime) {
        return {DecisionKind::Unknown, DecisionReason::LifetimeEnded};
    }
    if (time <= slot.refusedUpTo) {
        return {DecisionKind::NotRun, DecisionReason::RefusedEarlier};
    }
    if (m_leaving || slot.phase == SlotPhase::Sealed) {
        return refuse(request, slot, m_leaving ? DecisionReason::AgentLeaving : DecisionReason::SlotSealed);
    }
    if (!hasRoomForAnswer()) {
        slot.refusedUpTo = time;
        return {DecisionKind::NotRun, DecisionReason::RegistryFull};
    }
    m_records->insert({internal::SharedOrganisation(request.organisation),
                       request.key,
                       request.digest,
                       {},
                       RecordState::Running,
                       slotNumber});
    ++slot.running;
    m_answerBytes += m_limits.maximumBytesPerAnswer;
    return {DecisionKind::Execute, DecisionReason::NewKey};
}

Decision ExecutionRegistry::refuse(const ExecutionRequest &request, Slot &slot, DecisionReason reason)
{
    if (m_records->size() < m_limits.maximumRecords) {
        m_records->insert({internal::SharedOrganisation(request.organisation),
                           request.key,
                           request.digest,
                           {},
                           RecordState::Refused,
                           request.key.slot(request.organisation)});
    } else {
        slot.refusedUpTo = request.key.time();
    }
    return {DecisionKind::NotRun, reason};
}

bool ExecutionRegistry::hasRoomForAnswer() const
{
    return m_records->size() < m_limits.maximumRecords
        && m_answerBytes + m_limits.maximumBytesPerAnswer <= m_limits.maximumTotalAnswerBytes;
}

Result<void, ExecutionError>
ExecutionRegistry::complete(const OrganisationId &organisation, const IdempotencyKey &key, std::string answer)
{
    if (answer.size() > m_limits.maximumBytesPerAnswer) {
        return finish(organisation, key, RecordState::DoneAnswerNotKept, {});
    }
    return finish(organisation, key, RecordState::Done, std::move(answer));
}

Result<void, ExecutionError> ExecutionRegistry::completeUnknown(const OrganisationId &organisation,
                                                                const IdempotencyKey &key)
{
    return finish(organisation, key, RecordState::Unknown, {});
}

Result<void, ExecutionError> ExecutionRegistry::completeNotRun(const OrganisationId &organisation,
                                                               const IdempotencyKey &key)
{
    return finish(organisation, key, RecordState::Refused, {});
}

Result<void, ExecutionError> ExecutionRegistry::finish(const OrganisationId &organisation,
                                                       const IdempotencyKey &key,
                                                       RecordState state,
                                                       std::string answer)
{
    auto &records = m_records->get<internal::ByIdentity>();
    const auto record = records.find(std::make_tuple(key, internal::SharedOrganisation(organisation)));
    if (record == records.end() || record->state != RecordState::Running) {
        return failure(ExecutionError{ExecutionErrorCode::NotRunning, key.toString()});
    }
    answer.shrink_to_fit();
    m_answerBytes -= m_limits.maximumBytesPerAnswer;
    m_answerBytes += answer.size();
    --m_slots[record->slot].running;
    records.modify(record, [&](internal::ExecutionRecord &changed) {
        changed.state = state;
        changed.answer = std::move(answer);
    });
    return success();
}

std::size_t ExecutionRegistry::removeExpired(WallTime now, std::size_t limit)
{
    auto &records = m_records->get<internal::ByTime>();
    std::size_t removed = 0;
    auto record = records.begin();
    for (std::size_t seen = 0; seen < limit && record != records.end(); ++seen) {
        if (record->key.time() > now - m_lifetime) {
            break;
        }
        if (record->state == RecordState::Running) {
            ++record;
            continue;
        }
        WallTime &floor = m_slots[record->slot].floor;
        floor = std::max(floor, record->key.time());
        m_answerBytes -= record->answer.size();
        record = records.erase(record);
        ++removed;
    }
    return removed;
}

void ExecutionRegistry::setLifetime(Milliseconds lifetime)
{
    m_lifetime = lifetime;
}

void ExecutionRegistry::refuseNewKeys()
{
    m_leaving = true;
}

Result<void, ExecutionError> ExecutionRegistry::changePhase(SlotNumber slot, SlotPhase from, SlotPhase to)
{
    if (m_slots[slot].phase != from) {
        return failure(slotError(ExecutionErrorCode::WrongPhase, slot));
    }
    m_slots[slot].phase = to;
    return success();
}

Result<void, ExecutionError> ExecutionRegistry::serveWithoutRecords(SlotNumber slot, WallTime now)
{
    BOOST_OUTCOME_TRY(changePhase(slot, SlotPhase::NotOwned, SlotPhase::Serving));
    WallTime &floor = m_slots[slot].floor;
    floor = std::max(floor, now + m_bounds.maximumKeyLead + m_bounds.maximumClockSkew);
    return success();
}

Result<void, ExecutionError> ExecutionRegistry::seal(SlotNumber slot)
{
    return changePhase(slot, SlotPhase::Serving, SlotPhase::Sealed);
}

bool ExecutionRegistry::isDrained(SlotNumber slot) const
{
    return m_slots[slot].phase == SlotPhase::Sealed && m_slots[slot].running == 0;
}

Result<SlotExport, ExecutionError> ExecutionRegistry::exportSlot(SlotNumber slotNumber)
{
    Slot &slot = m_slots[slotNumber];
    if (slot.phase != SlotPhase::Sealed && slot.phase != SlotPhase::Exported) {
        return failure(slotError(ExecutionErrorCode::WrongPhase, slotNumber));
    }
    if (slot.running > 0) {
        return failure(slotError(ExecutionErrorCode::NotDrained, slotNumber));
    }
    slot.phase = SlotPhase::Exported;
    SlotExport content{slotNumber, slot.floor, slot.refusedUpTo, {}};
    for (const internal::ExecutionRecord &record : *m_records) {
        if (record.slot == slotNumber) {
            content.records.push_back({record.organisation, record.key, record.digest, record.state, record.answer});
        }
    }
    return content;
}

Result<void, ExecutionError> ExecutionRegistry::importSlot(const SlotExport &content)
{
    Slot &slot = m_slots[content.slot];
    if (slot.phase != SlotPhase::NotOwned) {
        return failure(slotError(ExecutionErrorCode::WrongPhase, content.slot));
    }
    std::size_t bytes = 0;
    for (const ExportedRecord &record : content.records) {
        bytes += record.answer.size();
        if (record.key.slot(record.organisation) != content.slot || record.state == RecordState::Running) {
            return failure(slotError(ExecutionErrorCode::BadRecord, content.slot));
        }
    }
    if (m_records->size() + content.records.size() > m_limits.maximumRecords
        || m_answerBytes + bytes > m_limits.maximumTotalAnswerBytes) {
        return failure(slotError(ExecutionErrorCode::RegistryFull, content.slot));
    }
    const Slot before = slot;
    slot = {SlotPhase::Imported, content.floor, content.refusedUpTo, 0};
    for (const ExportedRecord &record : content.records) {
        const internal::SharedOrganisation organisation(record.organisation);
        if (!m_records->insert({organisation, record.key, record.digest, record.answer, record.state, content.slot})
                 .second) {
            release(content.slot);
            slot = before;
            return failure(slotError(ExecutionErrorCode::BadRecord, content.slot));
        }
        m_answerBytes += record.answer.size();
    }
    return success();
}

Result<void, ExecutionError> ExecutionRegistry::activate(SlotNumber slot)
{
    return changePhase(slot, SlotPhase::Imported, SlotPhase::Serving);
}

Result<void, ExecutionError> ExecutionRegistry::unseal(SlotNumber slot)
{
    if (m_slots[slot].phase == SlotPhase::Sealed) {
        return changePhase(slot, SlotPhase::Sealed, SlotPhase::Serving);
    }
    return changePhase(slot, SlotPhase::Exported, SlotPhase::Serving);
}

void ExecutionRegistry::release(SlotNumber slotNumber)
{
    Slot &slot = m_slots[slotNumber];
    // If this process serves the slot again without records, the floor covers the keys that it drops here.
    WallTime floor = std::max(slot.floor, slot.refusedUpTo);
    for (auto record = m_records->begin(); record != m_records->end();) {
        if (record->slot != slotNumber) {
            ++record;
            continue;
        }
        floor = std::max(floor, record->key.time());
        m_answerBytes -= record->state == RecordState::Running ? m_limits.maximumBytesPerAnswer : record->answer.size();
        record = m_records->erase(record);
    }
    slot = {SlotPhase::NotOwned, floor, WallTime::min(), 0};
}

std::size_t ExecutionRegistry::recordCount() const
{
    return m_records->size();
}

} // namespace Cardamomhill
