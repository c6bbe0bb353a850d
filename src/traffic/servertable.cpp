#include "traffic/servertable.h"

#include "traffic/serverchooser.h"
#include "traffic/servermemory.h"
#include "traffic/serverquery.h"

#include <algorithm>

namespace Cardamomhill
{

ServerTable::ServerTable(ServerTableOptions options)
    : m_records(options)
{
}

void ServerTable::apply(const ServerChanges &changes)
{
    for (const auto &server : changes.updated) {
        auto &entry = m_records.entries[server.id];
        if (!entry.server.id.isEmpty() && entry.server.startedAt != server.startedAt) {
            // A new process has the id. The failures were those of its predecessor.
            entry.failures = 0;
        }
        if (entry.server.startedAt != server.startedAt || entry.server.address != server.address) {
            entry.isReplaced = false;
            m_records.prompts.forget(server.id);
            m_records.serviceTimes.forget(server.id);
        }
        if (entry.server.service != server.service) {
            std::erase(m_records.services[entry.server.service], server.id);
            m_records.services[server.service].push_back(server.id);
        }
        entry.server = server;
        entry.process = processOf(server);
        entry.key = serverKey(server.id);
        entry.isGone = false;
    }
    std::erase_if(m_records.groupActivity, [this](const auto &activity) {
        return std::none_of(m_records.entries.begin(), m_records.entries.end(), [&activity](const auto &entry) {
            return entry.second.server.groupMembership && entry.second.server.groupMembership->group == activity.first;
        });
    });
    for (const auto &id : changes.removed) {
        const auto found = m_records.entries.find(id);
        if (found == m_records.entries.end()) {
            continue;
        }
        std::erase(m_records.services[found->second.server.service], id);
        m_records.prompts.forget(id);
        m_records.serviceTimes.forget(id);
        found->second.isGone = true;
        found->second.server.service = ServiceId();
        if (found->second.inProgress == 0) {
            m_records.entries.erase(found);
        }
    }
    m_records.updateGroups();
    m_records.updateUnavailableGroups();
}

void ServerTable::setPeerLoads(ServerLoads loads)
{
    m_records.peerLoads = std::move(loads);
}

void ServerTable::setSlowdownFactors(SlowdownFactors slowdownFactors)
{
    m_records.slowdownFactors = std::move(slowdownFactors);
}

const SlowdownFactors &ServerTable::slowdownFactors() const
{
    return m_records.slowdownFactors;
}

ServerChoice ServerTable::choose(const ServerQuery &query, SteadyTime now, Random &random) const
{
    return ServerChooser(m_records, query, now, random).choose();
}

Microseconds ServerTable::meanStep(const ServiceId &service) const
{
    const auto found = m_records.services.find(service);
    Microseconds longest{0};
    if (found != m_records.services.end()) {
        for (const auto &id : found->second) {
            const auto *activity = m_records.activityOf(m_records.entries.at(id).server);
            longest = std::max(longest, activity == nullptr ? Microseconds(0) : activity->slowSteps.meanDuration());
        }
    }
    return longest;
}

void ServerTable::setUnreachable(std::set<FailureDomainId> domains, SteadyTime now)
{
    if (domains != m_records.unreachable) {
        const bool isAnyBack = !std::includes(
            domains.begin(), domains.end(), m_records.unreachable.begin(), m_records.unreachable.end());
        m_reachableAt = isAnyBack ? std::optional(now) : m_reachableAt;
        m_records.unreachable = std::move(domains);
        m_records.updateUnavailableGroups();
    }
}

const std::set<FailureDomainId> &ServerTable::unreachable() const
{
    return m_records.unreachable;
}

void ServerTable::setEvacuated(EvacuatedDomains evacuated)
{
    m_records.evacuated = std::move(evacuated);
}

const EvacuatedDomains &ServerTable::evacuated() const
{
    return m_records.evacuated;
}

bool ServerTable::isEvacuated(const BackendServerId &id) const
{
    const auto found = m_records.entries.find(id);
    return found != m_records.entries.end() && m_records.evacuated.contains(found->second.server.failureDomain);
}

std::optional<SteadyTime> ServerTable::evacuationEndedAt(const FailureDomainId &domain) const
{
    return m_records.evacuated.endOf(domain);
}

std::vector<BackendServerId> ServerTable::serversIn(const FailureDomainId &domain) const
{
    std::vector<BackendServerId> servers;
    for (const auto &[id, entry] : m_records.entries) {
        if (!entry.isGone && entry.server.failureDomain == domain) {
            servers.push_back(id);
        }
    }
    return servers;
}

bool ServerTable::recordLeaving(const ServerProcess &process, SteadyTime now)
{
    return m_records.statements.recordLeaving(process, now);
}

bool ServerTable::recordHold(const ServerProcess &process, Microseconds time, SteadyTime now)
{
    return m_records.statements.recordHold(process, time, now);
}

bool ServerTable::maySend(const ServerProcess &process, SteadyTime now) const
{
    return isStaying(process) && m_records.statements.heldUntil(process) <= now;
}

bool ServerTable::isStaying(const ServerProcess &process) const
{
    return !m_records.statements.isLeaving(process);
}

std::optional<SteadyTime> ServerTable::heldUntil(const ServiceId &service, SteadyTime now) const
{
    const auto found = m_records.services.find(service);
    std::optional<SteadyTime> earliest;
    if (found == m_records.services.end()) {
        return earliest;
    }
    for (const auto &id : found->second) {
        const auto &entry = m_records.entries.at(id);
        if (!m_records.isUsable(entry)) {
            continue;
        }
        const auto end = m_records.statements.heldUntil(entry.process);
        if (end <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

bool ServerTable::recordGroupOpened(const GroupId &group, std::uint64_t epoch)
{
    auto &openedEpoch = m_records.groupActivity[group].openedEpoch;
    const bool isNew = epoch > openedEpoch;
    openedEpoch = std::max(openedEpoch, epoch);
    m_records.updateUnavailableGroups();
    return isNew;
}

std::optional<ServiceId> ServerTable::serviceOf(const GroupId &group) const
{
    for (const auto &[id, entry] : m_records.entries) {
        if (!entry.isGone && entry.server.groupMembership && entry.server.groupMembership->group == group) {
            return entry.server.service;
        }
    }
    return std::nullopt;
}

bool ServerTable::isForming(const ServiceId &service, SteadyTime now) const
{
    return m_reachableAt && now - *m_reachableAt < m_records.options.groupFormingTime && m_records.unreachable.empty()
        && !canServe(service);
}

bool ServerTable::canServe(const ServiceId &service) const
{
    const auto found = m_records.services.find(service);
    return found != m_records.services.end()
        && std::any_of(found->second.begin(), found->second.end(), [this](const BackendServerId &id) {
               return m_records.isUsable(m_records.entries.at(id));
           });
}

std::string ServerTable::nameOf(ServerKey key) const
{
    for (const auto &[id, entry] : m_records.entries) {
        if (entry.key == key) {
            return id.value();
        }
    }
    return std::to_string(key);
}

const DiscoveredServer *ServerTable::server(const BackendServerId &id) const
{
    const auto found = m_records.entries.find(id);
    return found == m_records.entries.end() || found->second.isGone ? nullptr : &found->second.server;
}

bool ServerTable::hasServers() const
{
    return !m_records.entries.empty();
}

void ServerTable::recordConnectTime(const FailureDomainId &domain, Microseconds time, SteadyTime now)
{
    m_records.latencies.record(domain, time, now);
}

double ServerTable::callsAt(const BackendServerId &id, SteadyTime now) const
{
    const auto found = m_records.entries.find(id);
    return found == m_records.entries.end() ? 0 : m_records.loadOf(found->second, now);
}

void ServerTable::recordAnswered(const ServerProcess &process, Microseconds elapsed, double calls, SteadyTime now)
{
    m_records.recordAnswered(process, elapsed, calls, now);
}

std::vector<ServerEstimate> ServerTable::estimates(SteadyTime now) const
{
    return m_records.estimates(now);
}

void ServerTable::recordCallStarted(const BackendServerId &id)
{
    ++m_records.entries[id].inProgress;
}

PromptResidency::Ticket
ServerTable::recordPromptStarted(const BackendServerId &id, const PromptReuse &reuse, SteadyTime now)
{
    const auto found = m_records.entries.find(id);
    return found == m_records.entries.end() || found->second.isGone
        ? 0
        : m_records.prompts.recordStarted(id, reuse.prompt, m_records.memoryOf(found->second, reuse, now));
}

void ServerTable::recordPromptEnded(PromptResidency::Ticket ticket, AttemptEnd end)
{
    // After a broken connection the server may have ended, and what it held with it.
    m_records.prompts.recordEnded(ticket, !didNotRun(end) && end != AttemptEnd::Broken);
}

void ServerTable::recordCallEnded(const BackendServerId &id, AttemptEnd end, SteadyTime now)
{
    const auto found = m_records.entries.find(id);
    if (found == m_records.entries.end()) {
        return;
    }
    auto &entry = found->second;
    --entry.inProgress;
    if (entry.isGone) {
        if (entry.inProgress == 0) {
            m_records.entries.erase(found);
        }
        return;
    }
    if (end == AttemptEnd::OtherInstance) {
        entry.isReplaced = true;
        m_records.updateUnavailableGroups();
    }
    const double weight = failureWeight(end);
    entry.failures = weight == 0 && end == AttemptEnd::Delivered ? m_records.failuresOf(entry, now) / 2
                                                                 : m_records.failuresOf(entry, now) + weight;
    entry.failuresUpdatedAt = now;
}

std::optional<GroupId> ServerTable::recordReceived(const BackendServerId &id, SteadyTime now)
{
    const auto found = m_records.entries.find(id);
    if (found == m_records.entries.end()) {
        return std::nullopt;
    }
    found->second.receivedAt = now;
    const auto &groupMembership = found->second.server.groupMembership;
    if (!groupMembership) {
        return std::nullopt;
    }
    auto &activity = m_records.groupActivity[groupMembership->group];
    activity.receivedAt = now;
    const auto steps = activity.slowSteps.stepCount();
    const bool hasTurnedSlow = activity.slowSteps.recordArrival(now);
    if (activity.slowSteps.stepCount() != steps && !found->second.isGone) {
        const auto &group = groupMembership->group;
        activity.concurrency.recordStep(activity.slowSteps.lastDuration(),
                                        m_records.meanRunningStreams(group, found->second.server.service, now),
                                        now);
    }
    return hasTurnedSlow ? std::optional(groupMembership->group) : std::nullopt;
}

Microseconds ServerTable::currentStep(const BackendServerId &id, SteadyTime now) const
{
    const auto *found = server(id);
    const auto *activity = found == nullptr ? nullptr : m_records.activityOf(*found);
    return activity == nullptr ? Microseconds(0) : activity->slowSteps.currentDuration(now);
}

SteadyTime ServerTable::lastReceivedAt(const BackendServerId &id) const
{
    const auto found = m_records.entries.find(id);
    if (found == m_records.entries.end()) {
        return {};
    }
    const auto *activity = m_records.activityOf(found->second.server);
    return activity == nullptr ? found->second.receivedAt : activity->receivedAt;
}

bool ServerTable::isAvailable(const BackendServerId &id) const
{
    const auto found = m_records.entries.find(id);
    return found != m_records.entries.end() && m_records.isAvailable(found->second);
}

ColdServerLimit &ServerTable::coldServers()
{
    return m_records.coldServers;
}

void ServerTable::updateStatedLoad(const BackendServerId &id, const ServerStatedLoad &load, SteadyTime now)
{
    const auto found = m_records.entries.find(id);
    if (found == m_records.entries.end()) {
        return;
    }
    auto &entry = found->second;
    entry.stated = load;
    entry.statedAt = now;
    entry.countedWhenStated = entry.inProgress + m_records.peerCallsOf(entry);
}

ServerLoads ServerTable::ownLoads() const
{
    ServerLoads loads;
    for (const auto &[id, entry] : m_records.entries) {
        if (entry.inProgress > 0) {
            loads[entry.key] = entry.inProgress;
        }
    }
    return loads;
}

} // namespace Cardamomhill
