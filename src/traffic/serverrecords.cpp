#include "traffic/serverrecords.h"

#include "traffic/promptreuse.h"
#include "traffic/responsetimeestimate.h"
#include "traffic/servermemory.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

ServerRecords::ServerRecords(ServerTableOptions tableOptions)
    : options(tableOptions)
    , prompts(tableOptions.prompts)
{
}

bool ServerRecords::isAvailable(const KnownServer &entry) const
{
    if (entry.isReplaced || unreachable.contains(entry.server.failureDomain)) {
        return false;
    }
    const auto &groupMembership = entry.server.groupMembership;
    if (!groupMembership) {
        return true;
    }
    const bool isOpen = groupMembership->isOpen || groupMembership->epoch < openedEpochOf(entry.server);
    return isOpen && !unavailableGroups.contains(groupMembership->group);
}

bool ServerRecords::isUsable(const KnownServer &entry) const
{
    return !isLeaving(entry) && isAvailable(entry) && !evacuated.contains(entry.server.failureDomain);
}

bool ServerRecords::isLeaving(const KnownServer &entry) const
{
    return entry.server.isLeaving || statements.isLeaving(entry.process);
}

double ServerRecords::failuresOf(const KnownServer &entry, SteadyTime now) const
{
    if (entry.failures == 0) {
        return 0;
    }
    const auto age = std::chrono::duration<double>(now - entry.failuresUpdatedAt);
    const auto halfLife = std::chrono::duration<double>(options.failureHalfLife);
    return entry.failures * std::exp2(-age / halfLife);
}

double ServerRecords::loadOf(const KnownServer &entry, SteadyTime now) const
{
    const double counted = entry.inProgress + peerCallsOf(entry);
    if (now - entry.statedAt > options.statedLoadLifetime) {
        return counted;
    }
    // The load that the server states includes calls of hosts whose notices this host does not receive.
    const double stated = entry.stated.running + entry.stated.waiting;
    return std::max(counted, stated + counted - entry.countedWhenStated);
}

std::uint32_t ServerRecords::peerCallsOf(const KnownServer &entry) const
{
    const auto found = peerLoads.find(entry.key);
    return found == peerLoads.end() ? 0 : found->second;
}

const GroupActivity *ServerRecords::activityOf(const DiscoveredServer &server) const
{
    const auto found = server.groupMembership ? groupActivity.find(server.groupMembership->group) : groupActivity.end();
    return found == groupActivity.end() ? nullptr : &found->second;
}

std::uint64_t ServerRecords::openedEpochOf(const DiscoveredServer &server) const
{
    const auto *activity = activityOf(server);
    return activity == nullptr ? 0 : activity->openedEpoch;
}

ServerMemory ServerRecords::memoryOf(const KnownServer &entry, const PromptReuse &reuse, SteadyTime now) const
{
    const auto &estimate = reuse.estimate;
    return {estimate.capacityTokens, estimate.meanPromptTokens, estimate.meanAnswerTokens, loadOf(entry, now)};
}

void ServerRecords::updateUnavailableGroups()
{
    std::unordered_map<GroupId, std::uint64_t> epochs;
    for (const auto &[id, entry] : entries) {
        if (const auto &groupMembership = entry.server.groupMembership) {
            auto &epoch = epochs[groupMembership->group];
            epoch = std::max({epoch, groupMembership->epoch, openedEpochOf(entry.server)});
        }
    }
    unavailableGroups.clear();
    for (const auto &[id, entry] : entries) {
        const auto &groupMembership = entry.server.groupMembership;
        if (!groupMembership || entry.isGone) {
            continue;
        }
        // A group that has been formed again, so with a higher epoch, has another rank in place of the replaced one.
        const bool hasReplacedRank = entry.isReplaced && groupMembership->epoch == epochs[groupMembership->group];
        if (hasReplacedRank || unreachable.contains(entry.server.failureDomain)) {
            unavailableGroups.insert(groupMembership->group);
        }
    }
}

double ServerRecords::meanRunningStreams(const GroupId &group, const ServiceId &service, SteadyTime now) const
{
    double running = 0;
    double engines = 0;
    for (const auto &id : services.at(service)) {
        const auto &entry = entries.at(id);
        if (entry.server.groupMembership && entry.server.groupMembership->group == group) {
            running += std::min(loadOf(entry, now), entry.slots());
            ++engines;
        }
    }
    return engines == 0 ? 0 : running / engines;
}

void ServerRecords::updateGroups()
{
    groups.clear();
    for (const auto &[id, entry] : entries) {
        if (!entry.isGone && entry.server.groupMembership) {
            groups[entry.server.service].insert(entry.server.groupMembership->group);
        }
    }
}

bool ServerRecords::hasEstimates(const ServiceId &service) const
{
    const auto found = services.find(service);
    if (found == services.end() || found->second.size() < 2 || found->second.size() > options.maxEstimatedServers) {
        return false;
    }
    const auto &first = entries.at(found->second.front()).server.failureDomain;
    bool isInOneDomain = true;
    for (const auto &id : found->second) {
        const auto &server = entries.at(id).server;
        if (server.groupMembership) {
            return false;
        }
        isInOneDomain = isInOneDomain && server.failureDomain == first;
    }
    return !isInOneDomain;
}

ObservedTimes ServerRecords::serviceTimesOf(const ServiceId &service, SteadyTime now) const
{
    ObservedTimes times;
    for (const auto &id : services.at(service)) {
        times += serviceTimes.latest(id, now);
    }
    return times;
}

ResponseTimeEstimate
ServerRecords::estimateOf(const KnownServer &entry, const ObservedTimes &serviceTimesOfAll, SteadyTime now) const
{
    const auto roundTrip = latencies.roundTrip(entry.server.failureDomain, now);
    return {entry.slots(),
            serviceMsOf(serviceTimes.latest(entry.server.id, now), serviceTimesOfAll),
            std::chrono::duration<double, std::milli>(roundTrip).count()};
}

void ServerRecords::recordAnswered(const ServerProcess &process, Microseconds elapsed, double calls, SteadyTime now)
{
    const auto found = entries.find(process.id);
    if (found == entries.end() || found->second.isGone || found->second.process != process
        || !hasEstimates(found->second.server.service)) {
        return;
    }
    const auto &entry = found->second;
    const auto roundTrip = latencies.roundTrip(entry.server.failureDomain, now);
    serviceTimes.record(process.id, ResponseTimeEstimate::serviceMsFrom(elapsed, roundTrip, calls, entry.slots()), now);
}

std::vector<ServerEstimate> ServerRecords::estimates(SteadyTime now) const
{
    std::vector<ServerEstimate> result;
    for (const auto &[service, ids] : services) {
        if (!hasEstimates(service)) {
            continue;
        }
        const auto times = serviceTimesOf(service, now);
        for (const auto &id : ids) {
            const auto &entry = entries.at(id);
            const auto estimate = estimateOf(entry, times, now);
            const double calls = loadOf(entry, now);
            result.push_back({service,
                              id,
                              entry.server.failureDomain,
                              estimate.serviceMs,
                              estimate.roundTripMs,
                              calls,
                              estimate.milliseconds(calls + 1),
                              serviceTimes.latest(id, now).count});
        }
    }
    return result;
}

} // namespace Cardamomhill
