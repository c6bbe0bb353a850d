#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/answerhead.h"
#include "traffic/attemptend.h"
#include "traffic/coldserverlimit.h"
#include "traffic/concurrencylimit.h"
#include "traffic/evacuateddomains.h"
#include "traffic/grouproom.h"
#include "traffic/promptresidency.h"
#include "traffic/serverchanges.h"
#include "traffic/serverchoice.h"
#include "traffic/serverloads.h"
#include "traffic/serverprocess.h"
#include "traffic/serverstatements.h"
#include "traffic/slowdownfactors.h"
#include "traffic/slowstepdetector.h"
#include "traffic/streamadmission.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

struct PromptReuse;
struct ServerMemory;
struct ServerQuery;

/// Constants of ServerTable.
struct ServerTableOptions {
    /// Calls that may wait at a server for each of its slots. If all servers have that many, new calls are refused.
    /// Lower for engines: they need a second or more for a call, and callers give up a stream without an event after
    /// two.
    double queuedCallsPerSlot = 1.5;
    double queuedCallsPerEngineSlot = 0.6;
    /// Number of servers that a choice compares, sampled at random from those that can take the call. If hosts compared
    /// all servers of a large service, all would send their calls to the few that were idle in the last notices.
    std::size_t sampledServers = 3;
    /// Calls that one failure counts as in the load of a server, and the time in which that number halves.
    double failurePenaltyCalls = 6;
    Microseconds failureHalfLife = Seconds(2);
    /// With this many recent failures, a server is chosen only as a last resort.
    double failureThreshold = 1.5;
    /// A server whose work takes this many times longer than usual is chosen only as a last resort. A slow rank without
    /// calls of its own does not slow down its lock-step group.
    double slownessThreshold = 1.5;
    /// Time after the return of a failure domain within which groups with ranks there are formed again.
    Milliseconds groupFormingTime{1500};
    /// How long a load that a server stated is used, beside the calls that entry hosts counted.
    Microseconds statedLoadLifetime = Milliseconds(300);
    PromptResidencyOptions prompts;
};

/// The backend servers that calls may be sent to, with their known loads and failures. Chooses the server of a call.
class ServerTable
{
public:
    explicit ServerTable(ServerTableOptions options = {});

    void apply(const ServerChanges &changes);

    /// Sets the calls in progress of all other entry hosts.
    void setPeerLoads(ServerLoads loads);

    void setSlowdownFactors(SlowdownFactors slowdownFactors);
    const SlowdownFactors &slowdownFactors() const;

    /// Sets the failure domains that cannot be reached. Their servers, and all groups with a rank there, get no calls.
    void setUnreachable(std::set<FailureDomainId> domains, SteadyTime now);
    const std::set<FailureDomainId> &unreachable() const;

    /// Sets the failure domains that are evacuated. Their servers get no calls; those in progress go on. A group with a
    /// rank there takes calls at its other ranks.
    void setEvacuated(EvacuatedDomains evacuated);
    const EvacuatedDomains &evacuated() const;
    /// Whether a server is registered in an evacuated failure domain, or was when its registration ended.
    bool isEvacuated(const BackendServerId &id) const;
    /// When this host learned that the last evacuation of a domain had ended; nothing while the domain is evacuated.
    std::optional<SteadyTime> evacuationEndedAt(const FailureDomainId &domain) const;
    /// The ids of the registered servers of a failure domain.
    std::vector<BackendServerId> serversIn(const FailureDomainId &domain) const;

    /// Records that a group was formed and takes calls. Its registrations show that later. Returns whether its epoch is
    /// new.
    bool recordGroupOpened(const GroupId &group, std::uint64_t epoch);

    /// The service of the ranks of a group, if any rank is registered.
    std::optional<ServiceId> serviceOf(const GroupId &group) const;

    /// Whether the groups of a service take no calls, but are probably being formed again: a failure domain that was
    /// unreachable has just come back, and none is missing.
    bool isForming(const ServiceId &service, SteadyTime now) const;

    /// Records that a process of a server has stated in an answer that it is leaving. No registration of that process
    /// makes it take calls again. Returns false if that was known or a later process has the id.
    bool recordLeaving(const ServerProcess &process, SteadyTime now);

    /// Records that a process of a server has stated that it wants no calls for so long. Returns whether that is new:
    /// it was not held before.
    bool recordHold(const ServerProcess &process, Microseconds time, SteadyTime now);

    /// Whether a call that was to be sent to this process may still be sent, after what the process has stated about
    /// itself. Says nothing about its registration.
    bool maySend(const ServerProcess &process, SteadyTime now) const;

    /// Whether a process has not stated that it is leaving.
    bool isStaying(const ServerProcess &process) const;

    /// When the first server of the service takes calls again, if all that could take calls want none for a while.
    std::optional<SteadyTime> heldUntil(const ServiceId &service, SteadyTime now) const;

    /// Whether any server of the service can take calls, now or at the end of its hold.
    bool canServe(const ServiceId &service) const;

    /// Chooses the least loaded of a random sample of the servers that can take a call. For a call whose prompt may be
    /// held somewhere, the server that holds most of it is one more candidate, and the one is chosen that is expected
    /// to send the first event soonest.
    ServerChoice choose(const ServerQuery &query, SteadyTime now, Random &random) const;

    /// Mean duration of the steps of a service's groups; 0 if none is known.
    Microseconds meanStep(const ServiceId &service) const;

    /// The id of the server with this key, or the key as a number if there is none.
    std::string nameOf(ServerKey key) const;

    /// Returns nullptr if the server is unknown or gone.
    const DiscoveredServer *server(const BackendServerId &id) const;
    bool hasServers() const;

    /// Counts a call in progress at a server. Each call of recordCallStarted() must be followed by one of
    /// recordCallEnded().
    void recordCallStarted(const BackendServerId &id);
    void recordCallEnded(const BackendServerId &id, AttemptEnd end, SteadyTime now);
    /// Records that a call whose prompt the server may hold from now on is sent to it. To be called before
    /// recordCallStarted(). The ticket is for recordPromptEnded().
    PromptResidency::Ticket recordPromptStarted(const BackendServerId &id, const PromptReuse &reuse, SteadyTime now);
    void recordPromptEnded(PromptResidency::Ticket ticket, AttemptEnd end);
    /// Records that data was received from the server, which shows that its whole group is working, since the ranks of
    /// a group work in lock-step. Returns the group if its steps have just become slow.
    std::optional<GroupId> recordReceived(const BackendServerId &id, SteadyTime now);
    /// Duration of the current step of a server's group, as SlowStepDetector::currentDuration(); 0 without a group.
    Microseconds currentStep(const BackendServerId &id, SteadyTime now) const;
    /// When data was last received from the server or any rank of its group; SteadyTime() if never.
    SteadyTime lastReceivedAt(const BackendServerId &id) const;

    /// Whether calls may be sent to the server now.
    bool isAvailable(const BackendServerId &id) const;

    /// The limit of calls to cold servers. Limits nothing until it is replaced by one with options.
    ColdServerLimit &coldServers();

    /// Updates the load that the server stated in an answer.
    void updateStatedLoad(const BackendServerId &id, const ServerStatedLoad &load, SteadyTime now);

    /// Calls in progress of this entry host.
    ServerLoads ownLoads() const;

private:
    struct Entry {
        DiscoveredServer server;
        ServerProcess process;
        ServerKey key = 0;
        std::uint32_t inProgress = 0;
        /// The server is no longer registered. Its entry is kept until its calls in progress have ended.
        bool isGone = false;
        /// Another instance answered at its address. Reset when the server registers with another start time or
        /// address.
        bool isReplaced = false;
        /// Weighted number of failures at `failuresUpdatedAt`, from where it decays.
        double failures = 0;
        SteadyTime failuresUpdatedAt{};
        ServerStatedLoad stated;
        SteadyTime statedAt{};
        SteadyTime receivedAt{};
        /// Calls that entry hosts had counted when `stated` was received.
        std::uint32_t countedWhenStated = 0;
    };

    /// How well a server suits a call; the smallest is best.
    struct Score {
        /// Failed recently or is slow: chosen only as a last resort.
        bool isAvoided = true;
        /// Expected time to the first event; 0 if it is not estimated.
        double firstEventMs = std::numeric_limits<double>::max();
        double callsPerSlot = std::numeric_limits<double>::max();

        auto operator<=>(const Score &) const = default;
    };

    /// The servers that were compared for a call, and the best of them.
    struct Comparison {
        ServerChoice choice;
        const Entry *best = nullptr;
        Score bestScore;
        /// The best one if no server held a part of the prompt.
        const Entry *bestUnheld = nullptr;
        Score bestUnheldScore;
        /// Servers compared that did not fail recently and are not slow.
        std::size_t healthy = 0;
    };

    /// Why a call cannot be sent to the server now, or nothing if it can. If no server can take it, the reason that
    /// comes last in ChoiceReason is the one that is reported.
    std::optional<ChoiceReason> obstacleOf(const Entry &entry, const ServerQuery &query, SteadyTime now) const;
    Score scoreOf(const Entry &entry, SteadyTime now) const;
    /// The room in each group of the service for a call; empty if the call's admission does not limit groups.
    std::unordered_map<GroupId, GroupRoom> groupRooms(const ServerQuery &query, SteadyTime now) const;
    static std::optional<GroupRoom> roomOf(const Entry &entry, const std::unordered_map<GroupId, GroupRoom> &rooms);
    /// Whether the server has no group, or its group has room.
    static bool hasRoom(const Entry &entry, const std::unordered_map<GroupId, GroupRoom> &rooms);
    double meanRunningStreams(const GroupId &group, const ServiceId &service, SteadyTime now) const;
    void compare(const Entry &entry, const ServerQuery &query, SteadyTime now, Comparison &comparison) const;
    /// Of the servers that can take the call and are not avoided, the one that holds most of its prompt; empty if none
    /// holds any.
    BackendServerId holderFor(const ServerQuery &query, SteadyTime now, Random &random) const;
    std::uint64_t heldTokensOf(const Entry &entry, const PromptReuse &reuse, SteadyTime now) const;
    ServerMemory memoryOf(const Entry &entry, const PromptReuse &reuse, SteadyTime now) const;
    static double slotsOf(const Entry &entry);
    bool isAvailable(const Entry &entry) const;
    /// Whether calls may be sent to the server, now or at the end of its hold.
    bool isUsable(const Entry &entry) const;
    /// Whether the registration or the server itself says so.
    bool isLeaving(const Entry &entry) const;
    /// Calls in progress from which the server counts as full.
    double maxCallsOf(const Entry &entry, const ServerQuery &query, SteadyTime now) const;
    void updateUnavailableGroups();
    /// The number of failures after decay.
    double failuresOf(const Entry &entry, SteadyTime now) const;
    /// The estimated calls in progress at the server, of all entry hosts.
    double loadOf(const Entry &entry, SteadyTime now) const;
    std::uint32_t peerCallsOf(const Entry &entry) const;

    ServerTableOptions m_options;
    std::unordered_map<BackendServerId, Entry> m_entries;
    std::unordered_map<ServiceId, std::vector<BackendServerId>> m_services;
    ServerStatements m_statements;
    ColdServerLimit m_coldServers;
    PromptResidency m_prompts;
    ServerLoads m_peerLoads;
    SlowdownFactors m_slowdownFactors;
    std::set<FailureDomainId> m_unreachable;
    EvacuatedDomains m_evacuated;
    /// When a failure domain last became reachable again.
    std::optional<SteadyTime> m_reachableAt;
    struct GroupActivity {
        SteadyTime receivedAt{};
        SlowStepDetector slowSteps;
        ConcurrencyLimit concurrency;
        /// The latest epoch of recordGroupOpened().
        std::uint64_t openedEpoch = 0;
    };
    /// The activity of a server's group; nullptr if it has no group or none was recorded.
    const GroupActivity *activityOf(const DiscoveredServer &server) const;
    std::uint64_t openedEpochOf(const DiscoveredServer &server) const;

    std::unordered_map<GroupId, GroupActivity> m_groupActivity;
    /// Groups with a rank that was replaced or is in an unreachable failure domain.
    std::set<GroupId> m_unavailableGroups;
};

} // namespace Cardamomhill
