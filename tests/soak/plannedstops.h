#pragma once

#include "soak/soak.h"
#include "soak/stopcaller.h"
#include "soak/stophost.h"
#include "standins/enginegroup.h"

namespace Cardamomhill
{

struct PlannedStopOptions {
    SoakOptions soak;
    /// Time from SIGTERM to SIGKILL. Callers may be sent to a stopping host for 3/8 of it.
    Milliseconds terminationGrace{2400};
    /// Whether the gateway is told the grace time. Programs from before that setting existed refuse it.
    bool hasGraceSetting = true;
    /// Longest time for which a process does not run around its SIGTERM, as on a host whose processors are taken.
    Milliseconds maxSignalDelay{0};
    /// Hosts and servers are in failure domains `d1`, `d2` and so on in turn.
    std::size_t failureDomains = 1;
    /// Whether servers pause in some streams for longer than these may be silent before they are continued elsewhere.
    bool hasPauses = false;
    /// Number of groups of engines that serve the streams; without any, single servers do.
    std::size_t groups = 0;
    /// The shape and the faults of each group.
    EngineGroupOptions group;
};

/// Stops gateways in series and all at once, as a platform does: SIGTERM, after the grace time SIGKILL, and a new
/// process. Checks that callers lose only what a stop may cost them.
class PlannedStops
{
public:
    explicit PlannedStops(PlannedStopOptions options);

    /// Returns once the soak has ended.
    void run();

    const Ledger &ledger() const;
    /// Number of stops, of calls, and of calls by verdict.
    const std::map<std::string, std::size_t> &counts() const;

private:
    void addGroups();
    Task<> runAll();
    Task<> start(StopHost &host);
    Task<> stopHosts(SteadyTime until);
    Task<> stop(StopHost &host);
    /// Sends SIGTERM to a process that does not run until a random time later, if there is to be a delay.
    void terminate(StopHost &host);
    Task<> resume(StopHost &host);
    std::string failureDomain(std::size_t number) const;
    /// Measures how late this process itself is.
    Task<> measureDelay();
    void recordRun(const HttpRequest &request, const std::string &server);
    void recordAnswer(const HttpRequest &request, const std::string &server);
    void judgeCalls();
    void judgeGroups();
    void judgeCall(const std::string &id, const StopCall &call);
    Task<> sleep(Milliseconds time);
    std::int64_t randomUpTo(std::int64_t largest);

    PlannedStopOptions m_options;
    Random m_random;
    asio::io_context m_context;
    PlatformStore m_store;
    Ledger m_ledger;
    StopCaller::Calls m_calls;
    std::vector<std::unique_ptr<DirectBackend>> m_servers;
    std::vector<std::unique_ptr<EngineGroup>> m_groups;
    std::vector<std::unique_ptr<StopHost>> m_hosts;
    std::vector<std::unique_ptr<StopCaller>> m_callers;
    std::map<std::string, std::size_t> m_counts;
    std::size_t m_stopsInProgress = 0;
};

} // namespace Cardamomhill
