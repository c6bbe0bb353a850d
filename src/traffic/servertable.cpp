#include "traffic/servertable.h"

#include "traffic/randomorder.h"
#include "traffic/servermemory.h"
#include "traffic/serverquery.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Cardamomhill
{

namespace
{

/// The number of failures that an attempt with this end counts as.
double failureWeight(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::Withdrawn:
    case AttemptEnd::Superseded:
        return 0;
    case AttemptEnd::ServerError:
        return 0.3;
    case AttemptEnd::NotRun:
        return 0.4;
    case AttemptEnd::NotSent:
    case AttemptEnd::OtherInstance:
    case AttemptEnd::Broken:
    case AttemptEnd::TimedOut:
        return 1;
    }
    return 0;
}

} // namespace

ServerTable::ServerTable(ServerTableOptions options)
    : m_options(options)
    , m_prompts(options.prompts)
{
}

void ServerTable::apply(const ServerChanges &changes)
{
    for (const auto &server : changes.updated) {
        auto &entry = m_entries[server.id];
        if (!entry.server.id.isEmpty() && entry.server.startedAt != server.startedAt) {
            // A new process has the id. The failures were those of its predecessor.
            entry.failures = 0;
        }
        if (entry.server.startedAt != server.startedAt || entry.server.address != server.address) {
            entry.isReplaced = false;
            m_prompts.forget(server.id);
        }
        if (entry.server.service != server.service) {
            std::erase(m_services[entry.server.service], server.id);
            m_services[server.service].push_back(server.id);
        }
        entry.server = server;
        entry.process = processOf(server);
        entry.key = serverKey(server.id);
        entry.isGone = false;
    }
    std::erase_if(m_groupActivity, [this](const auto &activity) {
        return std::none_of(m_entries.begin(), m_entries.end(), [&activity](const auto &entry) {
            return entry.second.server.groupMembership && entry.second.server.groupMembership->group == activity.first;
        });
    });
    for (const auto &id : changes.removed) {
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            continue;
        }
        std::erase(m_services[found->second.server.service], id);
        m_prompts.forget(id);
        found->second.isGone = true;
        found->second.server.service = ServiceId();
        if (found->second.inProgress == 0) {
            m_entries.erase(found);
        }
    }
    updateUnavailableGroups();
}

void ServerTable::setPeerLoads(ServerLoads loads)
{
    m_peerLoads = std::move(loads);
}

void ServerTable::setSlowdownFactors(SlowdownFactors slowdownFactors)
{
    m_slowdownFactors = std::move(slowdownFactors);
}

const SlowdownFactors &ServerTable::slowdownFactors() const
{
    return m_slowdownFactors;
}

ServerChoice ServerTable::choose(const ServerQuery &query, SteadyTime now, Random &random) const
{
    Comparison comparison;
    auto &choice = comparison.choice;
    const auto found = m_services.find(query.service);
    if (found == m_services.end()) {
        return choice;
    }
    const auto rooms = groupRooms(query, now);
    internal::RandomOrder order(found->second.size(), random);
    const auto holder = holderFor(query, now, random);
    while (comparison.healthy < m_options.sampledServers && !order.isDone()) {
        const auto &id = found->second[order.next()];
        const auto &entry = m_entries.at(id);
        auto obstacle = obstacleOf(entry, query, now);
        if (!obstacle && !hasRoom(entry, rooms)) {
            obstacle = ChoiceReason::AllFull;
        }
        if (obstacle) {
            choice.skippedCold += *obstacle == ChoiceReason::AllCold ? 1 : 0;
            if (!choice.hasServer()) {
                choice.reason = std::max(choice.reason, *obstacle);
            }
        } else if (id != holder) {
            compare(entry, query, now, comparison);
        }
    }
    if (!holder.isEmpty() && hasRoom(m_entries.at(holder), rooms)) {
        compare(m_entries.at(holder), query, now, comparison);
    }
    if (comparison.best != comparison.bestUnheld) {
        choice.reason = ChoiceReason::HoldsPrompt;
    }
    if (comparison.best != nullptr) {
        choice.room = roomOf(*comparison.best, rooms);
    }
    return choice;
}

void ServerTable::compare(const Entry &entry, const ServerQuery &query, SteadyTime now, Comparison &comparison) const
{
    const auto unheldScore = scoreOf(entry, now);
    auto score = unheldScore;
    std::uint64_t held = 0;
    if (query.promptReuse && !score.isAvoided) {
        const auto &[prompt, estimate] = *query.promptReuse;
        held = heldTokensOf(entry, *query.promptReuse, now);
        const auto weighed = query.promptReuse->isWorthWeighing() ? held : 0;
        score.firstEventMs = estimate.milliseconds(score.callsPerSlot, prompt.tokens, weighed);
    }
    auto &choice = comparison.choice;
    ++choice.candidates;
    comparison.healthy += score.isAvoided ? 0 : 1;
    if (unheldScore < comparison.bestUnheldScore) {
        comparison.bestUnheldScore = unheldScore;
        comparison.bestUnheld = &entry;
    }
    if (score < comparison.bestScore) {
        comparison.bestScore = score;
        comparison.best = &entry;
        choice.server = entry.server.id;
        choice.heldTokens = held;
        choice.load = loadOf(entry, now) / slotsOf(entry);
        choice.reason = score.isAvoided ? ChoiceReason::LastResort : ChoiceReason::LeastLoaded;
    }
}

BackendServerId ServerTable::holderFor(const ServerQuery &query, SteadyTime now, Random &random) const
{
    /// Limits the work for a prefix that many servers without room hold.
    constexpr std::size_t MaxHolders = 8;
    if (!query.promptReuse || !query.promptReuse->isWorthWeighing()) {
        return {};
    }
    const auto &reuse = *query.promptReuse;
    for (const auto &id : m_prompts.holders(reuse.prompt, MaxHolders, random)) {
        const auto found = m_entries.find(id);
        const bool isCandidate = found != m_entries.end() && found->second.server.service == query.service
            && !obstacleOf(found->second, query, now) && !scoreOf(found->second, now).isAvoided
            && heldTokensOf(found->second, reuse, now) > 0;
        if (isCandidate) {
            return id;
        }
    }
    return {};
}

std::uint64_t ServerTable::heldTokensOf(const Entry &entry, const PromptReuse &reuse, SteadyTime now) const
{
    return m_prompts.heldTokens(entry.server.id, reuse.prompt, memoryOf(entry, reuse, now));
}

ServerMemory ServerTable::memoryOf(const Entry &entry, const PromptReuse &reuse, SteadyTime now) const
{
    const auto &estimate = reuse.estimate;
    return {estimate.capacityTokens, estimate.meanPromptTokens, estimate.meanAnswerTokens, loadOf(entry, now)};
}

std::optional<ChoiceReason> ServerTable::obstacleOf(const Entry &entry, const ServerQuery &query, SteadyTime now) const
{
    if (isLeaving(entry)) {
        return ChoiceReason::NoServer;
    }
    if (std::find(query.tried.begin(), query.tried.end(), entry.server.id) != query.tried.end()) {
        return ChoiceReason::AllTried;
    }
    if (m_evacuated.contains(entry.server.failureDomain)) {
        return ChoiceReason::Evacuated;
    }
    if (!isAvailable(entry)) {
        return ChoiceReason::GroupsClosed;
    }
    if (m_statements.heldUntil(entry.process) > now) {
        return ChoiceReason::AllHeld;
    }
    if (!m_coldServers.maySend(entry.server.id, now)) {
        return ChoiceReason::AllCold;
    }
    if (loadOf(entry, now) >= maxCallsOf(entry, query, now)) {
        return ChoiceReason::AllFull;
    }
    return std::nullopt;
}

ServerTable::Score ServerTable::scoreOf(const Entry &entry, SteadyTime now) const
{
    const double failures = failuresOf(entry, now);
    const auto slowdown = m_slowdownFactors.find(entry.key);
    const double factor = slowdown == m_slowdownFactors.end() ? 1.0 : slowdown->second;
    const double calls = loadOf(entry, now) + 1 + failures * m_options.failurePenaltyCalls;
    Score score;
    score.isAvoided = failures >= m_options.failureThreshold || factor >= m_options.slownessThreshold;
    score.firstEventMs = 0;
    score.callsPerSlot = calls * factor / slotsOf(entry);
    return score;
}

std::unordered_map<GroupId, GroupRoom> ServerTable::groupRooms(const ServerQuery &query, SteadyTime now) const
{
    std::unordered_map<GroupId, GroupRoom> rooms;
    const auto found = m_services.find(query.service);
    if (!query.admission || !query.admission->group || found == m_services.end()) {
        return rooms;
    }
    double slots = 0;
    for (const auto &id : found->second) {
        const auto &entry = m_entries.at(id);
        if (const auto &groupMembership = entry.server.groupMembership) {
            auto &room = rooms[groupMembership->group];
            room.calls -= loadOf(entry, now);
            ++room.engines;
            slots = slotsOf(entry);
        }
    }
    for (auto &[group, room] : rooms) {
        const auto activity = m_groupActivity.find(group);
        const auto &admission = *query.admission;
        const double limit = activity == m_groupActivity.end()
            ? slots
            : activity->second.concurrency.streamsPerEngine(
                admission.group->stepTime, admission.pauseObjective, slots, now);
        room.calls += admission.group->streamsPerEngine(limit, slots) * static_cast<double>(room.engines);
    }
    return rooms;
}

std::optional<GroupRoom> ServerTable::roomOf(const Entry &entry, const std::unordered_map<GroupId, GroupRoom> &rooms)
{
    const auto &groupMembership = entry.server.groupMembership;
    const auto room = groupMembership ? rooms.find(groupMembership->group) : rooms.end();
    return room == rooms.end() ? std::nullopt : std::optional(room->second);
}

bool ServerTable::hasRoom(const Entry &entry, const std::unordered_map<GroupId, GroupRoom> &rooms)
{
    const auto room = roomOf(entry, rooms);
    return !room || room->calls > 0;
}

Microseconds ServerTable::meanStep(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    Microseconds longest{0};
    if (found != m_services.end()) {
        for (const auto &id : found->second) {
            const auto *activity = activityOf(m_entries.at(id).server);
            longest = std::max(longest, activity == nullptr ? Microseconds(0) : activity->slowSteps.meanDuration());
        }
    }
    return longest;
}

double ServerTable::meanRunningStreams(const GroupId &group, const ServiceId &service, SteadyTime now) const
{
    double running = 0;
    double engines = 0;
    for (const auto &id : m_services.at(service)) {
        const auto &entry = m_entries.at(id);
        if (entry.server.groupMembership && entry.server.groupMembership->group == group) {
            running += std::min(loadOf(entry, now), slotsOf(entry));
            ++engines;
        }
    }
    return engines == 0 ? 0 : running / engines;
}

double ServerTable::slotsOf(const Entry &entry)
{
    return std::max<std::uint32_t>(entry.server.slots, 1);
}

double ServerTable::maxCallsOf(const Entry &entry, const ServerQuery &query, SteadyTime now) const
{
    const auto &admission = query.admission;
    const double slots = slotsOf(entry);
    const auto &groupMembership = entry.server.groupMembership;
    if (!groupMembership) {
        return slots * (1 + m_options.queuedCallsPerSlot);
    }
    const double maxCalls = slots * (1 + m_options.queuedCallsPerEngineSlot);
    const auto *activity = activityOf(entry.server);
    const auto step = activity == nullptr ? Microseconds(0) : activity->slowSteps.meanDuration();
    const auto waited = std::chrono::duration_cast<Microseconds>(now - query.arrivedAt.value_or(now));
    return admission && step > Microseconds(0) ? std::min(maxCalls, admission->maxCalls(slots, step, waited))
                                               : maxCalls;
}

void ServerTable::setUnreachable(std::set<FailureDomainId> domains, SteadyTime now)
{
    if (domains != m_unreachable) {
        const bool isAnyBack
            = !std::includes(domains.begin(), domains.end(), m_unreachable.begin(), m_unreachable.end());
        m_reachableAt = isAnyBack ? std::optional(now) : m_reachableAt;
        m_unreachable = std::move(domains);
        updateUnavailableGroups();
    }
}

const std::set<FailureDomainId> &ServerTable::unreachable() const
{
    return m_unreachable;
}

void ServerTable::setEvacuated(EvacuatedDomains evacuated)
{
    m_evacuated = std::move(evacuated);
}

const EvacuatedDomains &ServerTable::evacuated() const
{
    return m_evacuated;
}

bool ServerTable::isEvacuated(const BackendServerId &id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && m_evacuated.contains(found->second.server.failureDomain);
}

std::optional<SteadyTime> ServerTable::evacuationEndedAt(const FailureDomainId &domain) const
{
    return m_evacuated.endOf(domain);
}

std::vector<BackendServerId> ServerTable::serversIn(const FailureDomainId &domain) const
{
    std::vector<BackendServerId> servers;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.isGone && entry.server.failureDomain == domain) {
            servers.push_back(id);
        }
    }
    return servers;
}

void ServerTable::updateUnavailableGroups()
{
    std::unordered_map<GroupId, std::uint64_t> epochs;
    for (const auto &[id, entry] : m_entries) {
        if (const auto &groupMembership = entry.server.groupMembership) {
            auto &epoch = epochs[groupMembership->group];
            epoch = std::max({epoch, groupMembership->epoch, openedEpochOf(entry.server)});
        }
    }
    m_unavailableGroups.clear();
    for (const auto &[id, entry] : m_entries) {
        const auto &groupMembership = entry.server.groupMembership;
        if (!groupMembership || entry.isGone) {
            continue;
        }
        // A group that has been formed again, so with a higher epoch, has another rank in place of the replaced one.
        const bool hasReplacedRank = entry.isReplaced && groupMembership->epoch == epochs[groupMembership->group];
        if (hasReplacedRank || m_unreachable.contains(entry.server.failureDomain)) {
            m_unavailableGroups.insert(groupMembership->group);
        }
    }
}

bool ServerTable::isAvailable(const Entry &entry) const
{
    if (entry.isReplaced || m_unreachable.contains(entry.server.failureDomain)) {
        return false;
    }
    const auto &groupMembership = entry.server.groupMembership;
    if (!groupMembership) {
        return true;
    }
    const bool isOpen = groupMembership->isOpen || groupMembership->epoch < openedEpochOf(entry.server);
    return isOpen && !m_unavailableGroups.contains(groupMembership->group);
}

bool ServerTable::isUsable(const Entry &entry) const
{
    return !isLeaving(entry) && isAvailable(entry) && !m_evacuated.contains(entry.server.failureDomain);
}

bool ServerTable::isLeaving(const Entry &entry) const
{
    return entry.server.isLeaving || m_statements.isLeaving(entry.process);
}

bool ServerTable::recordLeaving(const ServerProcess &process, SteadyTime now)
{
    return m_statements.recordLeaving(process, now);
}

bool ServerTable::recordHold(const ServerProcess &process, Microseconds time, SteadyTime now)
{
    return m_statements.recordHold(process, time, now);
}

bool ServerTable::maySend(const ServerProcess &process, SteadyTime now) const
{
    return isStaying(process) && m_statements.heldUntil(process) <= now;
}

bool ServerTable::isStaying(const ServerProcess &process) const
{
    return !m_statements.isLeaving(process);
}

std::optional<SteadyTime> ServerTable::heldUntil(const ServiceId &service, SteadyTime now) const
{
    const auto found = m_services.find(service);
    std::optional<SteadyTime> earliest;
    if (found == m_services.end()) {
        return earliest;
    }
    for (const auto &id : found->second) {
        const auto &entry = m_entries.at(id);
        if (!isUsable(entry)) {
            continue;
        }
        const auto end = m_statements.heldUntil(entry.process);
        if (end <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

bool ServerTable::recordGroupOpened(const GroupId &group, std::uint64_t epoch)
{
    auto &openedEpoch = m_groupActivity[group].openedEpoch;
    const bool isNew = epoch > openedEpoch;
    openedEpoch = std::max(openedEpoch, epoch);
    updateUnavailableGroups();
    return isNew;
}

std::optional<ServiceId> ServerTable::serviceOf(const GroupId &group) const
{
    for (const auto &[id, entry] : m_entries) {
        if (!entry.isGone && entry.server.groupMembership && entry.server.groupMembership->group == group) {
            return entry.server.service;
        }
    }
    return std::nullopt;
}

const ServerTable::GroupActivity *ServerTable::activityOf(const DiscoveredServer &server) const
{
    const auto found
        = server.groupMembership ? m_groupActivity.find(server.groupMembership->group) : m_groupActivity.end();
    return found == m_groupActivity.end() ? nullptr : &found->second;
}

std::uint64_t ServerTable::openedEpochOf(const DiscoveredServer &server) const
{
    const auto *activity = activityOf(server);
    return activity == nullptr ? 0 : activity->openedEpoch;
}

bool ServerTable::isForming(const ServiceId &service, SteadyTime now) const
{
    return m_reachableAt && now - *m_reachableAt < m_options.groupFormingTime && m_unreachable.empty()
        && !canServe(service);
}

bool ServerTable::canServe(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
        && std::any_of(found->second.begin(), found->second.end(), [this](const BackendServerId &id) {
               return isUsable(m_entries.at(id));
           });
}

std::string ServerTable::nameOf(ServerKey key) const
{
    for (const auto &[id, entry] : m_entries) {
        if (entry.key == key) {
            return id.value();
        }
    }
    return std::to_string(key);
}

const DiscoveredServer *ServerTable::server(const BackendServerId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() || found->second.isGone ? nullptr : &found->second.server;
}

bool ServerTable::hasServers() const
{
    return !m_entries.empty();
}

void ServerTable::recordCallStarted(const BackendServerId &id)
{
    ++m_entries[id].inProgress;
}

PromptResidency::Ticket
ServerTable::recordPromptStarted(const BackendServerId &id, const PromptReuse &reuse, SteadyTime now)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() || found->second.isGone
        ? 0
        : m_prompts.recordStarted(id, reuse.prompt, memoryOf(found->second, reuse, now));
}

void ServerTable::recordPromptEnded(PromptResidency::Ticket ticket, AttemptEnd end)
{
    // After a broken connection the server may have ended, and what it held with it.
    m_prompts.recordEnded(ticket, !didNotRun(end) && end != AttemptEnd::Broken);
}

void ServerTable::recordCallEnded(const BackendServerId &id, AttemptEnd end, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    auto &entry = found->second;
    --entry.inProgress;
    if (entry.isGone) {
        if (entry.inProgress == 0) {
            m_entries.erase(found);
        }
        return;
    }
    if (end == AttemptEnd::OtherInstance) {
        entry.isReplaced = true;
        updateUnavailableGroups();
    }
    const double weight = failureWeight(end);
    entry.failures
        = weight == 0 && end == AttemptEnd::Delivered ? failuresOf(entry, now) / 2 : failuresOf(entry, now) + weight;
    entry.failuresUpdatedAt = now;
}

std::optional<GroupId> ServerTable::recordReceived(const BackendServerId &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    found->second.receivedAt = now;
    const auto &groupMembership = found->second.server.groupMembership;
    if (!groupMembership) {
        return std::nullopt;
    }
    auto &activity = m_groupActivity[groupMembership->group];
    activity.receivedAt = now;
    const auto steps = activity.slowSteps.stepCount();
    const bool hasTurnedSlow = activity.slowSteps.recordArrival(now);
    if (activity.slowSteps.stepCount() != steps && !found->second.isGone) {
        const auto &group = groupMembership->group;
        activity.concurrency.recordStep(
            activity.slowSteps.lastDuration(), meanRunningStreams(group, found->second.server.service, now), now);
    }
    return hasTurnedSlow ? std::optional(groupMembership->group) : std::nullopt;
}

Microseconds ServerTable::currentStep(const BackendServerId &id, SteadyTime now) const
{
    const auto *found = server(id);
    const auto *activity = found == nullptr ? nullptr : activityOf(*found);
    return activity == nullptr ? Microseconds(0) : activity->slowSteps.currentDuration(now);
}

SteadyTime ServerTable::lastReceivedAt(const BackendServerId &id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return {};
    }
    const auto *activity = activityOf(found->second.server);
    return activity == nullptr ? found->second.receivedAt : activity->receivedAt;
}

bool ServerTable::isAvailable(const BackendServerId &id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && isAvailable(found->second);
}

ColdServerLimit &ServerTable::coldServers()
{
    return m_coldServers;
}

void ServerTable::updateStatedLoad(const BackendServerId &id, const ServerStatedLoad &load, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    auto &entry = found->second;
    entry.stated = load;
    entry.statedAt = now;
    entry.countedWhenStated = entry.inProgress + peerCallsOf(entry);
}

ServerLoads ServerTable::ownLoads() const
{
    ServerLoads loads;
    for (const auto &[id, entry] : m_entries) {
        if (entry.inProgress > 0) {
            loads[entry.key] = entry.inProgress;
        }
    }
    return loads;
}

double ServerTable::failuresOf(const Entry &entry, SteadyTime now) const
{
    if (entry.failures == 0) {
        return 0;
    }
    const auto age = std::chrono::duration<double>(now - entry.failuresUpdatedAt);
    const auto halfLife = std::chrono::duration<double>(m_options.failureHalfLife);
    return entry.failures * std::exp2(-age / halfLife);
}

double ServerTable::loadOf(const Entry &entry, SteadyTime now) const
{
    const double counted = entry.inProgress + peerCallsOf(entry);
    if (now - entry.statedAt > m_options.statedLoadLifetime) {
        return counted;
    }
    // The load that the server states includes calls of hosts whose notices this host does not receive.
    const double stated = entry.stated.running + entry.stated.waiting;
    return std::max(counted, stated + counted - entry.countedWhenStated);
}

std::uint32_t ServerTable::peerCallsOf(const Entry &entry) const
{
    const auto found = m_peerLoads.find(entry.key);
    return found == m_peerLoads.end() ? 0 : found->second;
}

} // namespace Cardamomhill
