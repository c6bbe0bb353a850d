#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/coldserverlimit.h"
#include "traffic/evacuateddomains.h"
#include "traffic/groupactivity.h"
#include "traffic/promptresidency.h"
#include "traffic/serverentry.h"
#include "traffic/serverloads.h"
#include "traffic/serverstatements.h"
#include "traffic/servertableoptions.h"
#include "traffic/slowdownfactors.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

struct PromptReuse;
struct ServerMemory;

/// What a host knows about the backend servers, their groups and their failure domains. ServerTable changes it;
/// ServerChooser chooses by it.
struct ServerRecords {
    explicit ServerRecords(ServerTableOptions tableOptions = {});

    ServerTableOptions options;
    std::unordered_map<BackendServerId, ServerEntry> entries;
    std::unordered_map<ServiceId, std::vector<BackendServerId>> services;
    ServerStatements statements;
    ColdServerLimit coldServers;
    PromptResidency prompts;
    ServerLoads peerLoads;
    SlowdownFactors slowdownFactors;
    std::set<FailureDomainId> unreachable;
    EvacuatedDomains evacuated;
    std::unordered_map<GroupId, GroupActivity> groupActivity;
    /// Groups with a rank that was replaced or is in an unreachable failure domain.
    std::set<GroupId> unavailableGroups;

    bool isAvailable(const ServerEntry &entry) const;
    /// Whether calls may be sent to the server, now or at the end of its hold.
    bool isUsable(const ServerEntry &entry) const;
    /// Whether the registration or the server itself says so.
    bool isLeaving(const ServerEntry &entry) const;
    /// The number of failures after decay.
    double failuresOf(const ServerEntry &entry, SteadyTime now) const;
    /// The estimated calls in progress at the server, of all entry hosts.
    double loadOf(const ServerEntry &entry, SteadyTime now) const;
    std::uint32_t peerCallsOf(const ServerEntry &entry) const;
    /// The activity of a server's group; nullptr if it has no group or none was recorded.
    const GroupActivity *activityOf(const DiscoveredServer &server) const;
    std::uint64_t openedEpochOf(const DiscoveredServer &server) const;
    /// Mean number of streams that the engines of a group run.
    double meanRunningStreams(const GroupId &group, const ServiceId &service, SteadyTime now) const;
    ServerMemory memoryOf(const ServerEntry &entry, const PromptReuse &reuse, SteadyTime now) const;
    void updateUnavailableGroups();
};

} // namespace Cardamomhill
