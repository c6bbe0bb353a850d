#pragma once

#include "net/asio.h"
#include "soak/coldreturns.h"
#include "soak/engineload.h"
#include "soak/faultplan.h"
#include "soak/ledger.h"
#include "soak/randomevacuations.h"
#include "soak/soakcaller.h"
#include "soak/soakhost.h"
#include "soak/soakserver.h"
#include "soak/storewriter.h"
#include "standins/platformstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

struct SoakOptions {
    std::uint64_t seed = 1;
    Milliseconds duration{12000};
    std::size_t hosts = 3;
    std::size_t servers = 4;
    std::size_t callers = 12;
    /// Whether a failure domain with half of the servers is evacuated and taken back at random times.
    bool hasEvacuations = false;
    /// Whether servers return cold, at random times and when a fault replaces them.
    bool hasColdReturns = false;
    /// Whether all servers and all engines stop responding at random times.
    bool hasOutages = false;
    /// Whether a service of engines gets more of the less urgent requests at random times than it can serve.
    bool hasUrgency = false;
    /// Whether the gateways lack the settings of the parts that are checked, which shows that the checks can fail.
    bool lacksSettings = false;
    /// Path of the gateway program.
    std::string program;
    /// Directory for the settings and logs of the hosts.
    std::string directory;
};

/// Runs gateways in separate processes against stand-ins in this process, injects the faults of a plan, and checks what
/// callers and servers receive.
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /// Returns once the soak has ended.
    void run();

    const Ledger &ledger() const;
    /// Number of checks of each kind, which reveals a run that checked nothing.
    const std::map<std::string, std::size_t> &checks() const;

private:
    Task<> runAll();
    Task<> injectFaults(SteadyTime start);
    Task<> injectFault(Fault fault);
    Task<> injectHostFault(FaultKind kind, SoakHost &host, Milliseconds duration);
    Task<> injectStoreLinkFault(FaultKind kind, SoakHost &host, Milliseconds duration);
    Task<> injectStoreFault(FaultKind kind, Milliseconds duration);
    Task<> injectServerLinkFault(FaultKind kind, SoakServer &server, Milliseconds duration);
    Task<> injectLinkFault(FaultKind kind, FaultProxy &link, Milliseconds duration);
    Task<> replaceServer(SoakServer &server, Milliseconds duration);
    Task<> drainServer(SoakServer &server);
    Task<> evacuate(SteadyTime end);
    void checkEvacuation(const std::string &call, const std::string &instance);
    /// Whether the link to a server was harmed lately, so that a call that was sent in time may arrive late.
    bool isHeldUp(const std::string &instance) const;
    Task<> changeConfiguration();
    /// The configuration of a version, with what the options add.
    std::string configuration(std::uint64_t version) const;
    std::string settings() const;
    void addColdReturns();
    void setServersSilent(bool isSilent);
    /// Starts what the options add beside the faults of the plan.
    void startOptions(SteadyTime end);
    void endOptions();
    Task<> checkConfiguration(std::uint64_t version, SteadyTime acknowledgedAt);
    Task<> checkRecovery();
    void endFaults();
    void onRun(const std::string &instance, const HttpRequest &request);
    /// Whether neither the host nor the store had a fault around or after that time, so that time limits apply.
    bool timeLimitsApply(SoakHost &host, SteadyTime since) const;

    Task<> sleep(Milliseconds time);

    SoakOptions m_options;
    asio::io_context m_context;
    PlatformStore m_store;
    tcp::endpoint m_storeAddress;
    StabilityTracker m_storeStability;
    Ledger m_ledger;
    StoreWriter m_storeWriter;
    std::vector<std::unique_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakHost>> m_hosts;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::unique_ptr<SoakCaller> m_prober;
    std::unique_ptr<RandomEvacuations> m_evacuations;
    std::unique_ptr<ColdReturns> m_coldReturns;
    std::unique_ptr<EngineLoad> m_engineLoad;
    /// When the store acknowledged that an instance leaves; SteadyTime::max() until it has.
    std::map<std::string, SteadyTime> m_leavingSince;
    std::map<std::string, std::size_t> m_checks;
    std::uint64_t m_version = 1;
    /// Number of faults in progress, including the checks that follow them.
    std::size_t m_faultsInProgress = 0;
    bool m_isWritingConfiguration = false;
};

} // namespace Cardamomhill
