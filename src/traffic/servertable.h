#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/attemptend.h"
#include "traffic/serverchanges.h"
#include "traffic/serverchoice.h"
#include "traffic/serverestimate.h"
#include "traffic/serverrecords.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

struct PromptReuse;
struct ServerQuery;

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
    /// to send the first event soonest. Of a plain service with few servers in more than one failure domain, all are
    /// compared by their expected response times. A stream goes less to groups whose steps are too long.
    ServerChoice choose(const ServerQuery &query, SteadyTime now, Random &random) const;

    /// Mean duration of the steps of a service's groups; 0 if none is known.
    Microseconds meanStep(const ServiceId &service) const;

    /// The id of the server with this key, or the key as a number if there is none.
    std::string nameOf(ServerKey key) const;

    /// Returns nullptr if the server is unknown or gone.
    const DiscoveredServer *server(const BackendServerId &id) const;
    bool hasServers() const;

    /// Records how long setting up a connection to a server of a failure domain took.
    void recordConnectTime(const FailureDomainId &domain, Microseconds time, SteadyTime now);
    /// The estimated calls in progress at a server, of all entry hosts; 0 for an unknown one.
    double callsAt(const BackendServerId &id, SteadyTime now) const;
    /// Records that a process has answered a call completely. No effect for a service without estimates.
    /// @param elapsed since the call was sent to it
    /// @param calls in progress there when it was sent, with this one
    void recordAnswered(const ServerProcess &process, Microseconds elapsed, double calls, SteadyTime now);
    /// What choices by expected response time go by now, for each server of a service that has them.
    std::vector<ServerEstimate> estimates(SteadyTime now) const;

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
    ServerRecords m_records;
    /// When a failure domain last became reachable again.
    std::optional<SteadyTime> m_reachableAt;
};

} // namespace Cardamomhill
