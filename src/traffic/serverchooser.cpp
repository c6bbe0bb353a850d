#include "traffic/serverchooser.h"

#include "traffic/groupselection.h"
#include "traffic/observedtimes.h"
#include "traffic/randomorder.h"
#include "traffic/responsetimeestimate.h"
#include "traffic/servermemory.h"
#include "traffic/serverquery.h"
#include "traffic/serverrecords.h"

#include <algorithm>
#include <map>
#include <random>
#include <tuple>

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
    const auto &servers = found->second;
    // Streams and prompts are weighed by their first events; service times are those of other calls.
    if (!m_query.admission && !m_query.promptReuse && m_records.hasEstimates(m_query.service)) {
        const auto serviceTimes = m_records.serviceTimesOf(m_query.service, m_now);
        if (serviceTimes.count > 0) {
            return chooseSoonest(servers, serviceTimes);
        }
    }
    m_rooms = groupRooms();
    m_selectedGroup = selectGroup(servers);
    choice.isGroupSelected = !m_selectedGroup.isEmpty();
    const internal::RandomOrder order(servers.size(), m_random);
    const auto holderId = holder();
    compareSample(servers, order, holderId);
    if (!m_selectedGroup.isEmpty() && m_comparison.bestScore.isAvoided) {
        m_selectedGroup = GroupId();
        m_comparison = {};
        compareSample(servers, order, holderId);
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

ServerChoice ServerChooser::chooseSoonest(const std::vector<BackendServerId> &servers,
                                          const ObservedTimes &serviceTimes)
{
    auto candidates = estimateCandidates(servers, serviceTimes);
    auto &choice = m_comparison.choice;
    choice.candidates = candidates.size();
    if (candidates.empty()) {
        return choice;
    }
    const double leastLoad = std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
                                 return a.score < b.score;
                             })->score.callsPerSlot;
    const auto home = *std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.score.isAvoided, a.estimate.milliseconds(0), a.expectedMs)
            < std::tuple(b.score.isAvoided, b.estimate.milliseconds(0), b.expectedMs);
    });
    const auto best = *std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tie(a.score.isAvoided, a.expectedMs) < std::tie(b.score.isAvoided, b.expectedMs);
    });
    std::erase_if(candidates, [&best](const auto &candidate) {
        return candidate.score.isAvoided != best.score.isAvoided
            || !best.estimate.isNearlyEqual(best.expectedMs, candidate.expectedMs);
    });
    const bool stays = home.entry != best.entry && staysAt(home, best);
    const auto &chosen = stays ? home : candidates[m_random() % candidates.size()];
    choice.server = chosen.entry->server.id;
    choice.load = m_records.loadOf(*chosen.entry, m_now) / chosen.entry->slots();
    choice.expectedMs = chosen.expectedMs;
    choice.reason = ChoiceReason::SoonestResponse;
    if (chosen.score.isAvoided) {
        choice.reason = ChoiceReason::LastResort;
    } else if (chosen.score.callsPerSlot <= leastLoad) {
        choice.reason = ChoiceReason::LeastLoaded;
    }
    return choice;
}

std::vector<ServerChooser::EstimatedServer>
ServerChooser::estimateCandidates(const std::vector<BackendServerId> &servers, const ObservedTimes &serviceTimes)
{
    std::vector<EstimatedServer> candidates;
    bool hasSoundRoom = false;
    for (const auto &id : servers) {
        const auto &entry = m_records.entries.at(id);
        const bool hasRoomNow = mayTake(entry);
        // What the last notices show as full may be so no more. If all hosts turned to the other servers, these would
        // be overloaded before the next notices. A host that has filled a server by itself knows that it is full.
        const bool mayHaveRoom = obstacleOf(entry) == ChoiceReason::AllFull && entry.inProgress < maxCallsOf(entry);
        if (hasRoomNow || mayHaveRoom) {
            auto estimate = m_records.estimateOf(entry, serviceTimes, m_now);
            estimate.serviceMs *= slowdownOf(entry);
            const double expectedMs = estimate.milliseconds(weighedCallsOf(entry));
            candidates.push_back({&entry, scoreOf(entry), estimate, expectedMs, hasRoomNow});
            hasSoundRoom = hasSoundRoom || (hasRoomNow && !candidates.back().score.isAvoided);
        }
    }
    if (!hasSoundRoom) {
        // A server that has stopped has few calls. Its room must not lift the limit of the others.
        std::erase_if(candidates, [](const auto &candidate) { return !candidate.hasRoom; });
    }
    return candidates;
}

bool ServerChooser::staysAt(const EstimatedServer &home, const EstimatedServer &best)
{
    const double load = m_records.loadOf(*home.entry, m_now);
    if (load == 0) {
        return false;
    }
    const double reportedShare = std::min(1.0, m_records.peerCallsOf(*home.entry) / load);
    const double probability = ResponseTimeEstimate::stayProbability(home.expectedMs, best.expectedMs, reportedShare);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

GroupId ServerChooser::selectGroup(const std::vector<BackendServerId> &servers) const
{
    const auto groups = m_records.groups.find(m_query.service);
    if (!m_records.options.selectsGroups || !m_query.admission || groups == m_records.groups.end()
        || groups->second.size() < 2) {
        return {};
    }
    const GroupSelection selection(m_query.admission->pauseObjective);
    const bool isAnySlow = std::any_of(groups->second.begin(), groups->second.end(), [&](const GroupId &group) {
        return selection.isSlow(currentStep(group));
    });
    return isAnySlow ? selection.select(groupCandidates(servers), m_random) : GroupId();
}

std::vector<GroupCandidate> ServerChooser::groupCandidates(const std::vector<BackendServerId> &servers) const
{
    std::map<GroupId, GroupCandidate> candidates;
    for (const auto &id : servers) {
        const auto &entry = m_records.entries.at(id);
        if (!entry.server.groupMembership) {
            continue;
        }
        const auto &group = entry.server.groupMembership->group;
        const auto load = m_records.loadOf(entry, m_now);
        auto &candidate = candidates[group];
        candidate.hasCalls = candidate.hasCalls || load > 0;
        if (!obstacleOf(entry) && hasRoom(entry)) {
            candidate.room += maxCallsOf(entry) - load;
        }
    }
    std::vector<GroupCandidate> result;
    for (auto &[group, candidate] : candidates) {
        candidate.group = group;
        // What looks like a long step is the time since the last one if there are no calls.
        candidate.step = candidate.hasCalls ? currentStep(group) : Microseconds(0);
        result.push_back(candidate);
    }
    return result;
}

Microseconds ServerChooser::currentStep(const GroupId &group) const
{
    const auto activity = m_records.groupActivity.find(group);
    return activity == m_records.groupActivity.end() ? Microseconds(0)
                                                     : activity->second.slowSteps.currentDuration(m_now);
}

bool ServerChooser::isInSelectedGroup(const KnownServer &entry) const
{
    return m_selectedGroup.isEmpty()
        || (entry.server.groupMembership && entry.server.groupMembership->group == m_selectedGroup);
}

void ServerChooser::compareSample(const std::vector<BackendServerId> &servers,
                                  internal::RandomOrder order,
                                  const BackendServerId &holderId)
{
    while (m_comparison.healthy < m_records.options.sampledServers && !order.isDone()) {
        const auto &id = servers[order.next()];
        const auto &entry = m_records.entries.at(id);
        if (isInSelectedGroup(entry) && mayTake(entry) && id != holderId) {
            compare(entry);
        }
    }
}

bool ServerChooser::mayTake(const KnownServer &entry)
{
    auto obstacle = obstacleOf(entry);
    if (!obstacle && !hasRoom(entry)) {
        obstacle = ChoiceReason::AllFull;
    }
    if (obstacle) {
        auto &choice = m_comparison.choice;
        choice.skippedCold += *obstacle == ChoiceReason::AllCold ? 1 : 0;
        if (!choice.hasServer()) {
            choice.reason = std::max(choice.reason, *obstacle);
        }
    }
    return !obstacle;
}

void ServerChooser::compare(const KnownServer &entry)
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
            && isInSelectedGroup(found->second) && !obstacleOf(found->second) && !scoreOf(found->second).isAvoided
            && heldTokensOf(found->second) > 0;
        if (isCandidate) {
            return id;
        }
    }
    return {};
}

std::uint64_t ServerChooser::heldTokensOf(const KnownServer &entry) const
{
    const auto &reuse = *m_query.promptReuse;
    return m_records.prompts.heldTokens(entry.server.id, reuse.prompt, m_records.memoryOf(entry, reuse, m_now));
}

std::optional<ChoiceReason> ServerChooser::obstacleOf(const KnownServer &entry) const
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

double ServerChooser::maxCallsOf(const KnownServer &entry) const
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

ServerScore ServerChooser::scoreOf(const KnownServer &entry) const
{
    const double failures = m_records.failuresOf(entry, m_now);
    const double factor = slowdownOf(entry);
    ServerScore score;
    score.isAvoided = failures >= m_records.options.failureThreshold || factor >= m_records.options.slownessThreshold;
    score.firstEventMs = 0;
    score.callsPerSlot = weighedCallsOf(entry) * factor / entry.slots();
    return score;
}

double ServerChooser::weighedCallsOf(const KnownServer &entry) const
{
    const double failures = m_records.failuresOf(entry, m_now);
    return m_records.loadOf(entry, m_now) + 1 + failures * m_records.options.failurePenaltyCalls;
}

double ServerChooser::slowdownOf(const KnownServer &entry) const
{
    const auto slowdown = m_records.slowdownFactors.find(entry.key);
    return slowdown == m_records.slowdownFactors.end() ? 1.0 : slowdown->second;
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

std::optional<GroupRoom> ServerChooser::roomOf(const KnownServer &entry) const
{
    const auto &groupMembership = entry.server.groupMembership;
    const auto room = groupMembership ? m_rooms.find(groupMembership->group) : m_rooms.end();
    return room == m_rooms.end() ? std::nullopt : std::optional(room->second);
}

bool ServerChooser::hasRoom(const KnownServer &entry) const
{
    const auto room = roomOf(entry);
    return !room || room->calls > 0;
}

} // namespace Cardamomhill
