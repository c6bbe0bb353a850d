#pragma once

#include "control/serverdrain.h"
#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "core/result.h"
#include "drain/calladmission.h"
#include "gateway/backendconnectionpool.h"
#include "gateway/callerloadreport.h"
#include "gateway/peerexchange.h"
#include "gateway/promptguard.h"
#include "gateway/stopsummary.h"
#include "net/asio.h"
#include "net/httpserver.h"
#include "net/neterror.h"
#include "routing/retrybudget.h"
#include "traffic/admissionpacer.h"
#include "traffic/callqueue.h"
#include "traffic/reachability.h"
#include "traffic/serverprocess.h"
#include "traffic/servertable.h"
#include "traffic/serviceoutage.h"
#include "traffic/trafficconfiguration.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Cardamomhill
{

class Attempt;
class CallCodec;
class CallHandler;
class LatencySummary;
class MetricsRegistry;
struct AnswerHead;
struct GatewaySettings;
struct Route;

/// The traffic thread of a gateway with all state that it needs to serve calls. While run() is running, only stop(),
/// context() and functions that are marked as thread-safe may be called on other threads.
class GatewayThread
{
public:
    /// Called on the traffic thread.
    struct Observers {
        /// The steps of a group have just become slow.
        std::function<void(const GroupId &)> onSlowGroup;
        /// The other entry hosts that are unresponsive, whenever that changes.
        std::function<void(const std::set<std::string> &)> onUnresponsiveHosts;
        /// The other live hosts in this host's failure domain, whenever they change.
        std::function<void(const std::vector<RelayHost> &)> onDomainHosts;
        /// The coordinator of a group on another host sent a notice. It may be a repetition.
        std::function<void(const GroupNotice &)> onGroupNotice;
        /// This host is to store the parts of prompts that are blocked.
        std::function<void(const std::vector<BlockedPart> &)> onBlockedParts;
        /// Draining is over and no further call can be taken.
        std::function<void()> onDrained;
    };

    GatewayThread(const GatewaySettings &settings,
                  const CallCodec &codec,
                  MetricsRegistry &metrics,
                  Observers observers);
    ~GatewayThread();

    Result<void, NetError> listen();
    void run();
    void stop();
    asio::io_context &context();

    /// How many bytes of an answer may wait to be read on a connection to a server, or 0 if that is not limited.
    std::size_t receiveQueueBytes() const;

    void applyConfiguration(std::shared_ptr<const TrafficConfiguration> configuration);
    void applyServers(const ServerChanges &changes);
    /// Ends all calls to servers of the evacuated failure domains, except those that were sent before.
    void applyEvacuations(EvacuatedDomains evacuated);
    /// Sets the slow ranks of the groups that this process coordinates.
    void setOwnSlowServers(const SlowdownFactors &slowdownFactors);
    /// Tells the other entry hosts about a group that this process coordinates.
    void sendGroupNotice(const GroupNotice &notice);
    void setPeers(const std::vector<tcp::endpoint> &hosts);
    /// Sets the names of the hosts that the store lists, after setPeers().
    void setHostNames(const std::set<HostId> &names);
    /// The store lists this host. Only then its share of the retry slack is granted: at once if no earlier process of
    /// the host can have spent it, else when this process is older than the window.
    void setRegistered(bool isFirstProcess);
    /// Closes callers' connections after their answers, so that callers connect to another host before this one stops,
    /// later the listening socket, and shortly before the process is killed what still runs. Ends run() when no
    /// connection is left or the time is over.
    /// @param signalNotSentBefore when the signal to stop can have been sent at the earliest
    void startDraining(SteadyTime signalNotSentBefore);
    /// Time since startDraining(), or nothing before it.
    std::optional<Milliseconds> drainingTime() const;
    /// Whether a call may begin, given the longest time that it may take. Once the process drains, only calls that are
    /// likely to end before it is killed may.
    CallAdmission admitCall(const Route &route, Milliseconds limit) const;
    /// What the planned stop of the process has done so far. Other threads may read it once run() has ended.
    StopSummary &stopSummary();
    void recordCallDuration(const Route &route, Microseconds duration, CallDurations::End end);

    /// Whether it is known which failure domains are evacuated, if evacuations are followed. No call can be sent
    /// before.
    bool knowsEvacuations() const;

    /// False while this host is cut off by a network partition and cannot serve all engine services. Thread-safe.
    bool canServe() const;

    /// Data of an answer was received from a backend server.
    void recordArrival(const BackendServerId &server, SteadyTime now);

    /// Records whether a process of a backend server stated in an answer that it is leaving.
    void recordLeaving(const ServerProcess &process, const AnswerHead &answer);
    /// Records whether it stated in an answer that it wants no calls for a while.
    void recordHold(const ServerProcess &process, const AnswerHead &answer);

    /// Records how much longer the server is cold, if it stated that in an answer.
    void recordColdRemaining(const BackendServerId &server, const AnswerHead &answer);

    /// Whether connections to this process may be kept for later calls.
    bool mayReuseConnection(const ServerProcess &process) const;

    /// An attempt to connect to a backend server has ended.
    void recordConnectResult(const FailureDomainId &domain, bool success);
    /// A connection to a backend server was set up in this time.
    void recordConnectTime(const FailureDomainId &domain, Microseconds time);

    /// Calls in progress. Thread-safe.
    std::size_t callCount() const;
    void callStarted(CallHandler &call);
    /// May be called for a call that has not started.
    void callEnded(CallHandler &call);

    const std::shared_ptr<const TrafficConfiguration> &configuration() const;
    const CallCodec &codec() const;
    MetricsRegistry &metrics();
    /// The metric of pauses between events. Cached, since it is recorded for each event of a stream.
    LatencySummary &eventPauses();
    ServerTable &servers();
    /// The attempts that have a connection and have not ended.
    std::unordered_set<Attempt *> &attempts();
    /// Whether a stream in progress has had events from the group of this server, which must have one.
    bool hasBegunStreamAt(const BackendServerId &server) const;
    BackendConnectionPool &connectionPool();
    Random &random();
    RetryBudget &retryBudget(const ServiceId &service);
    /// The calls to a service that wait for room.
    CallQueue &callQueue(const ServiceId &service);
    AdmissionPacer &admissionPacer(const ServiceId &service);
    /// Whether an engine service has stopped as a whole.
    ServiceOutage &serviceOutage(const ServiceId &service);
    /// Entry hosts that are alive, with this one.
    std::size_t liveHostCount() const;
    PromptGuard &promptGuard();

    /// Time since this process started.
    Milliseconds uptime() const;

    /// Lengthens a time by a random fraction of itself between 0 and `part`.
    Milliseconds addJitter(Milliseconds time, double part);

private:
    Task<> tickLoop();
    void closeEvacuatedConnections();
    /// Whether a call with this head is refused whatever its body is.
    bool refusesHead(const HttpRequest::header_type &head) const;
    /// How long the oldest call of a route in progress has taken so far.
    Microseconds oldestCallAge(const Route &route) const;
    void applyGroupNotice(const GroupNotice &notice);
    /// Ends the attempts whose prompts have a blocked part, before their servers begin to answer.
    void cancelBlockedAttempts();
    void checkReachability();
    bool canServeAllEngines() const;
    /// This host's share of `retrySlack`.
    double retrySlackShare() const;
    void updateHostCount();
    void updateGauges();
    void logColdServers();
    void logEstimates();
    void applySlowdownFactors(const SlowdownFactors &slowdownFactors);

    const GatewaySettings &m_settings;
    SteadyTime m_startedAt;
    /// When this host's share of the retry slack is granted.
    SteadyTime m_retrySlackFrom;
    const CallCodec &m_codec;
    MetricsRegistry &m_metrics;
    LatencySummary &m_eventPauses;
    Observers m_observers;
    // Before the context, whose destructor ends the calls that still run when the time of a stop is over.
    std::unordered_set<Attempt *> m_attempts;
    std::unordered_map<ServiceId, CallQueue> m_callQueues;
    /// The calls in progress.
    std::unordered_set<CallHandler *> m_calls;
    /// The number of calls in progress, for other threads.
    std::atomic<std::size_t> m_callCount{0};
    asio::io_context m_context;
    HttpServer m_httpServer;
    CallerLoadReport m_callerLoad;
    std::shared_ptr<const TrafficConfiguration> m_configuration;
    ServerTable m_servers;
    bool m_hasEvacuations = false;
    BackendConnectionPool m_connectionPool;
    Random m_random;
    /// The largest number of entry hosts so far, this one included.
    std::uint32_t m_maxHostCount;
    Reachability m_reachability;
    PeerExchange m_peerExchange;
    PromptGuard m_promptGuard;
    ServerDrain m_drain;
    StopSummary m_stopSummary;
    std::atomic<bool> m_canServe{true};
    std::unordered_map<ServiceId, RetryBudget> m_retryBudgets;
    std::unordered_map<ServiceId, AdmissionPacer> m_admissionPacers;
    std::unordered_map<ServiceId, ServiceOutage> m_serviceOutages;
    std::size_t m_liveHostCount = 1;
};

} // namespace Cardamomhill
