#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/answerhead.h"
#include "traffic/attemptend.h"
#include "traffic/serverchanges.h"
#include "traffic/serverchoice.h"
#include "traffic/serverloads.h"
#include "traffic/serverslowness.h"
#include "traffic/steppace.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// Constants of ServerTable.
struct ServerTableOptions {
    /// Calls that may wait at a server for each of its slots before new ones are refused here. An engine works for a
    /// second and more on a call, and callers give up a stream that has not begun after two.
    double waitingPerSlot = 1.5;
    double waitingPerEngineSlot = 0.6;
    /// Servers that a choice compares, picked at random among those that can take the call. Hosts that compare all
    /// servers of a large service send their calls to the few that looked idle when the loads were told.
    std::size_t comparedServers = 3;
    /// Load that a recent failure counts for, in calls, and the time in which it halves.
    double failurePenaltyCalls = 6;
    Microseconds failureHalfLife = Seconds(2);
    /// Recent failures from which on a server is chosen only when no other is left.
    double failuresToAvoid = 1.5;
    /// How many times longer than usual a server's work takes from which on it is chosen only when no other is left. A
    /// slow rank without calls of its own does not hold back its group.
    double slownessToAvoid = 1.5;
    /// A stated load counts for this long beside the calls that were counted.
    Microseconds statedLoadLifetime = Milliseconds(300);
};

/// The backend servers that calls may be sent to, with what is known of their load and failures.
class ServerTable
{
public:
    explicit ServerTable(ServerTableOptions options = {});

    void apply(const ServerChanges &changes);

    /// Calls that other entry hosts have in progress.
    void setPeerLoads(ServerLoads loads);

    void setSlowness(ServerSlowness slowness);
    const ServerSlowness &slowness() const;

    /// Failure domains whose servers, and groups with a rank there, get no calls.
    void setUnreachable(std::set<FailureDomainId> domains);
    const std::set<FailureDomainId> &unreachable() const;

    /// Whether some server of a service can take calls.
    bool canServe(const ServiceId &service) const;

    /// Chooses the least loaded of a few servers of a service that were not tried.
    ServerChoice
    choose(const ServiceId &service, const std::vector<BackendServerId> &tried, SteadyTime now, Random &random) const;

    /// The id of a server, or the key as a number if it is not known here.
    std::string nameOf(ServerKey key) const;

    /// Nothing if the server is gone.
    const DiscoveredServer *server(const BackendServerId &id) const;
    bool hasServers() const;

    /// Counts a call on a server. Each is followed by one ended().
    void started(const BackendServerId &id);
    void ended(const BackendServerId &id, AttemptEnd end, SteadyTime now);
    /// Something arrived from the server. The ranks of a group work in step, so each speaks for all. Returns the group
    /// if its steps have just turned slow.
    std::optional<GroupId> signOfLife(const BackendServerId &id, SteadyTime now);
    /// When something last arrived from the server or its group; the clock's start if never.
    SteadyTime lastSignOfLife(const BackendServerId &id) const;

    /// Whether calls may be sent to the server now.
    bool isUsable(const BackendServerId &id) const;

    void takeLoad(const BackendServerId &id, const StatedLoad &load, SteadyTime now);

    /// Own calls in progress.
    ServerLoads ownLoads() const;

private:
    struct Entry {
        DiscoveredServer server;
        ServerKey key = 0;
        std::uint32_t inProgress = 0;
        /// Of the servers that left, only those with calls in progress are kept.
        bool isGone = false;
        /// Another instance answered at its address. Holds until the server registers with another start or address.
        bool isReplaced = false;
        double failures = 0;
        SteadyTime failuresAt{};
        StatedLoad stated;
        SteadyTime statedAt{};
        SteadyTime signAt{};
        std::uint32_t knownWhenStated = 0;
    };

    bool isUsable(const Entry &entry) const;
    void findCutGroups();
    double failuresOf(const Entry &entry, SteadyTime now) const;
    double loadOf(const Entry &entry, SteadyTime now) const;
    std::uint32_t peerCalls(const Entry &entry) const;

    ServerTableOptions m_options;
    std::unordered_map<BackendServerId, Entry> m_entries;
    std::unordered_map<ServiceId, std::vector<BackendServerId>> m_services;
    ServerLoads m_peerLoads;
    ServerSlowness m_slowness;
    std::set<FailureDomainId> m_unreachable;
    struct GroupSigns {
        SteadyTime lastAt{};
        StepPace pace;
    };
    std::unordered_map<GroupId, GroupSigns> m_groupSigns;
    /// Groups with a rank that was replaced or lies in a failure domain that cannot be reached.
    std::set<GroupId> m_cutGroups;
};

} // namespace Cardamomhill
