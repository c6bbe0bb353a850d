#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/coldserverlimit.h"
#include "traffic/domainlatencies.h"
#include "traffic/evacuateddomains.h"
#include "traffic/groupactivity.h"
#include "traffic/knownserver.h"
#include "traffic/promptresidency.h"
#include "traffic/serverestimate.h"
#include "traffic/serverloads.h"
#include "traffic/serverstatements.h"
#include "traffic/servertableoptions.h"
#include "traffic/servicetimes.h"
#include "traffic/slowdownfactors.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

struct PromptReuse;
struct ResponseTimeEstimate;
struct ServerMemory;

/// What a host knows about the backend servers, their groups and their failure domains. ServerTable changes it;
/// ServerChooser chooses by it.
struct ServerRecords {
    explicit ServerRecords(ServerTableOptions tableOptions = {});

    ServerTableOptions options;
    std::unordered_map<BackendServerId, KnownServer> entries;
    std::unordered_map<ServiceId, std::vector<BackendServerId>> services;
    ServerStatements statements;
    ColdServerLimit coldServers;
    PromptResidency prompts;
    ServerLoads peerLoads;
    SlowdownFactors slowdownFactors;
    std::set<FailureDomainId> unreachable;
    EvacuatedDomains evacuated;
    ServiceTimes serviceTimes;
    DomainLatencies latencies;
    std::unordered_map<GroupId, GroupActivity> groupActivity;
    /// The groups of each service.
    std::unordered_map<ServiceId, std::set<GroupId>> groups;
    /// Groups with a rank that was replaced or is in an unreachable failure domain.
    std::set<GroupId> unavailableGroups;

    bool isAvailable(const KnownServer &entry) const;
    /// Whether calls may be sent to the server, now or at the end of its hold.
    bool isUsable(const KnownServer &entry) const;
    /// Whether the registration or the server itself says so.
    bool isLeaving(const KnownServer &entry) const;
    /// The number of failures after decay.
    double failuresOf(const KnownServer &entry, SteadyTime now) const;
    /// The estimated calls in progress at the server, of all entry hosts.
    double loadOf(const KnownServer &entry, SteadyTime now) const;
    std::uint32_t peerCallsOf(const KnownServer &entry) const;
    /// The activity of a server's group; nullptr if it has no group or none was recorded.
    const GroupActivity *activityOf(const DiscoveredServer &server) const;
    std::uint64_t openedEpochOf(const DiscoveredServer &server) const;
    /// Mean number of streams that the engines of a group run.
    double meanRunningStreams(const GroupId &group, const ServiceId &service, SteadyTime now) const;
    ServerMemory memoryOf(const KnownServer &entry, const PromptReuse &reuse, SteadyTime now) const;
    void updateUnavailableGroups();
    void updateGroups();
    /// Whether the servers of a service are few, in no groups and in more than one failure domain, so that they are
    /// compared by their expected response times.
    bool hasEstimates(const ServiceId &service) const;
    /// As the functions of ServerTable with these names.
    void recordAnswered(const ServerProcess &process, Microseconds elapsed, double calls, SteadyTime now);
    std::vector<ServerEstimate> estimates(SteadyTime now) const;
    /// The service times of all servers of a service.
    ObservedTimes serviceTimesOf(const ServiceId &service, SteadyTime now) const;
    /// @param serviceTimesOfAll of the server's service
    ResponseTimeEstimate
    estimateOf(const KnownServer &entry, const ObservedTimes &serviceTimesOfAll, SteadyTime now) const;
};

} // namespace Cardamomhill
