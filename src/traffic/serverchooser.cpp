#include "traffic/serverchooser.h"

#include "traffic/randomorder.h"
#include "traffic/servermemory.h"
#include "traffic/serverquery.h"
#include "traffic/serverrecords.h"

#include <algorithm>

namespace Cardamomhill
{

ServerChooser::ServerChooser(const ServerRecords &records, const ServerQuery &query, SteadyTime now, Random &random)
    : m_records(records)
    , m_query(query)
    , m_now(now)
    , m_random(random)
{
}

ServerChoice ServerChooser::choose()
{
    auto &choice = m_comparison.choice;
    const auto found = m_records.services.find(m_query.service);
    if (found == m_records.services.end()) {
        return choice;
    }
    m_rooms = groupRooms();
    internal::RandomOrder order(found->second.size(), m_random);
    const auto holderId = holder();
    while (m_comparison.healthy < m_records.options.sampledServers && !order.isDone()) {
        const auto &id = found->second[order.next()];
        const auto &entry = m_records.entries.at(id);
        auto obstacle = obstacleOf(entry);
        if (!obstacle && !hasRoom(entry)) {
            obstacle = ChoiceReason::AllFull;
        }
        if (obstacle) {
            choice.skippedCold += *obstacle == ChoiceReason::AllCold ? 1 : 0;
            if (!choice.hasServer()) {
                choice.reason = std::max(choice.reason, *obstacle);
            }
        } else if (id != holderId) {
            compare(entry);
        }
    }
    if (!holderId.isEmpty() && hasRoom(m_records.entries.at(holderId))) {
        compare(m_records.entries.at(holderId));
    }
    if (m_comparison.best != m_comparison.bestUnheld) {
        choice.reason = ChoiceReason::HoldsPrompt;
    }
    if (m_comparison.best != nullptr) {
        choice.room = roomOf(*m_comparison.best);
    }
    return choice;
}

void ServerChooser::compare(const ServerEntry &entry)
{
    const auto unheldScore = scoreOf(entry);
    auto score = unheldScore;
    std::uint64_t held = 0;
    if (m_query.promptReuse && !score.isAvoided) {
        const auto &[prompt, estimate] = *m_query.promptReuse;
        held = heldTokensOf(entry);
        const auto weighed = m_query.promptReuse->isWorthWeighing() ? held : 0;
        score.firstEventMs = estimate.milliseconds(score.callsPerSlot, prompt.tokens, weighed);
    }
    auto &choice = m_comparison.choice;
    ++choice.candidates;
    m_comparison.healthy += score.isAvoided ? 0 : 1;
    if (unheldScore < m_comparison.bestUnheldScore) {
        m_comparison.bestUnheldScore = unheldScore;
        m_comparison.bestUnheld = &entry;
    }
    if (score < m_comparison.bestScore) {
        m_comparison.bestScore = score;
        m_comparison.best = &entry;
        choice.server = entry.server.id;
        choice.heldTokens = held;
        choice.load = m_records.loadOf(entry, m_now) / entry.slots();
        choice.reason = score.isAvoided ? ChoiceReason::LastResort : ChoiceReason::LeastLoaded;
    }
}

BackendServerId ServerChooser::holder() const
{
    /// Limits the work for a prefix that many servers without room hold.
    constexpr std::size_t MaxHolders = 8;
    if (!m_query.promptReuse || !m_query.promptReuse->isWorthWeighing()) {
        return {};
    }
    const auto &reuse = *m_query.promptReuse;
    for (const auto &id : m_records.prompts.holders(reuse.prompt, MaxHolders, m_random)) {
        const auto found = m_records.entries.find(id);
        const bool isCandidate = found != m_records.entries.end() && found->second.server.service == m_query.service
            && !obstacleOf(found->second) && !scoreOf(found->second).isAvoided && heldTokensOf(found->second) > 0;
        if (isCandidate) {
            return id;
        }
    }
    return {};
}

std::uint64_t ServerChooser::heldTokensOf(const ServerEntry &entry) const
{
    const auto &reuse = *m_query.promptReuse;
    return m_records.prompts.heldTokens(entry.server.id, reuse.prompt, m_records.memoryOf(entry, reuse, m_now));
}

std::optional<ChoiceReason> ServerChooser::obstacleOf(const ServerEntry &entry) const
{
    if (m_records.isLeaving(entry)) {
        return ChoiceReason::NoServer;
    }
    if (std::find(m_query.tried.begin(), m_query.tried.end(), entry.server.id) != m_query.tried.end()) {
        return ChoiceReason::AllTried;
    }
    if (m_records.evacuated.contains(entry.server.failureDomain)) {
        return ChoiceReason::Evacuated;
    }
    if (!m_records.isAvailable(entry)) {
        return ChoiceReason::GroupsClosed;
    }
    if (m_records.statements.heldUntil(entry.process) > m_now) {
        return ChoiceReason::AllHeld;
    }
    if (!m_records.coldServers.maySend(entry.server.id, m_now)) {
        return ChoiceReason::AllCold;
    }
    if (m_records.loadOf(entry, m_now) >= maxCallsOf(entry)) {
        return ChoiceReason::AllFull;
    }
    return std::nullopt;
}

double ServerChooser::maxCallsOf(const ServerEntry &entry) const
{
    const auto &admission = m_query.admission;
    const double slots = entry.slots();
    const auto &groupMembership = entry.server.groupMembership;
    if (!groupMembership) {
        return slots * (1 + m_records.options.queuedCallsPerSlot);
    }
    const double maxCalls = slots * (1 + m_records.options.queuedCallsPerEngineSlot);
    const auto *activity = m_records.activityOf(entry.server);
    const auto step = activity == nullptr ? Microseconds(0) : activity->slowSteps.meanDuration();
    const auto waited = std::chrono::duration_cast<Microseconds>(m_now - m_query.arrivedAt.value_or(m_now));
    return admission && step > Microseconds(0) ? std::min(maxCalls, admission->maxCalls(slots, step, waited))
                                               : maxCalls;
}

ServerScore ServerChooser::scoreOf(const ServerEntry &entry) const
{
    const double failures = m_records.failuresOf(entry, m_now);
    const auto slowdown = m_records.slowdownFactors.find(entry.key);
    const double factor = slowdown == m_records.slowdownFactors.end() ? 1.0 : slowdown->second;
    const double calls = m_records.loadOf(entry, m_now) + 1 + failures * m_records.options.failurePenaltyCalls;
    ServerScore score;
    score.isAvoided = failures >= m_records.options.failureThreshold || factor >= m_records.options.slownessThreshold;
    score.firstEventMs = 0;
    score.callsPerSlot = calls * factor / entry.slots();
    return score;
}

std::unordered_map<GroupId, GroupRoom> ServerChooser::groupRooms() const
{
    std::unordered_map<GroupId, GroupRoom> rooms;
    const auto found = m_records.services.find(m_query.service);
    if (!m_query.admission || !m_query.admission->group || found == m_records.services.end()) {
        return rooms;
    }
    double slots = 0;
    for (const auto &id : found->second) {
        const auto &entry = m_records.entries.at(id);
        if (const auto &groupMembership = entry.server.groupMembership) {
            auto &room = rooms[groupMembership->group];
            room.calls -= m_records.loadOf(entry, m_now);
            ++room.engines;
            slots = entry.slots();
        }
    }
    for (auto &[group, room] : rooms) {
        const auto activity = m_records.groupActivity.find(group);
        const auto &admission = *m_query.admission;
        const double limit = activity == m_records.groupActivity.end()
            ? slots
            : activity->second.concurrency.streamsPerEngine(
                admission.group->stepTime, admission.pauseObjective, slots, m_now);
        room.calls += admission.group->streamsPerEngine(limit, slots) * static_cast<double>(room.engines);
    }
    return rooms;
}

std::optional<GroupRoom> ServerChooser::roomOf(const ServerEntry &entry) const
{
    const auto &groupMembership = entry.server.groupMembership;
    const auto room = groupMembership ? m_rooms.find(groupMembership->group) : m_rooms.end();
    return room == m_rooms.end() ? std::nullopt : std::optional(room->second);
}

bool ServerChooser::hasRoom(const ServerEntry &entry) const
{
    const auto room = roomOf(entry);
    return !room || room->calls > 0;
}

} // namespace Cardamomhill
