#pragma once

#include "net/asio.h"
#include "soak/faultplan.h"
#include "soak/ledger.h"
#include "soak/soakcaller.h"
#include "soak/soakhost.h"
#include "soak/soakserver.h"
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
    Milliseconds length{12000};
    std::size_t hosts = 3;
    std::size_t servers = 4;
    std::size_t callers = 12;
    std::string program;
    std::string directory;
};

/// Runs gateways as processes of their own against stand-ins in this process, disturbs them by a plan, and checks what
/// callers and servers see.
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /// Returns once everything has ended.
    void run();

    const Ledger &ledger() const;
    /// Checks of each kind that were made, so that a run that checks nothing shows.
    const std::map<std::string, std::size_t> &checks() const;

private:
    Task<> script();
    Task<> faults(SteadyTime start);
    Task<> apply(Fault fault);
    Task<> disturbHost(FaultKind kind, SoakHost &host, Milliseconds duration);
    Task<> disturbStoreLink(FaultKind kind, SoakHost &host, Milliseconds duration);
    Task<> disturbStore(FaultKind kind, Milliseconds duration);
    Task<> disturbLink(FaultKind kind, FaultProxy &link, Milliseconds duration);
    Task<> replaceServer(SoakServer &server, Milliseconds duration);
    Task<> drainServer(SoakServer &server);
    Task<> changeConfiguration();
    Task<> checkConfiguration(std::uint64_t version, SteadyTime acknowledgedAt);
    Task<> checkRecovery();
    void heal();
    void onRun(const std::string &instance, const HttpRequest &request);
    /// Whether the bounds in time hold for a host since then.
    bool isInTouch(SoakHost &host, SteadyTime since) const;

    /// Repeats a write until the store takes it; returns when it did.
    Task<SteadyTime> write(std::string method, std::string path, std::string document);
    Task<> setFaults(std::string faults);
    Task<> sleep(Milliseconds time);

    SoakOptions m_options;
    asio::io_context m_context;
    PlatformStore m_store;
    tcp::endpoint m_storeAddress;
    Calmness m_storeCalmness;
    Ledger m_ledger;
    std::vector<std::unique_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakHost>> m_hosts;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::unique_ptr<SoakCaller> m_prober;
    /// When the store acknowledged that an instance leaves.
    std::map<std::string, SteadyTime> m_leavingSince;
    std::map<std::string, std::size_t> m_checks;
    std::uint64_t m_version = 1;
    /// Faults and checks that are under way.
    std::size_t m_underWay = 0;
    bool m_isChanging = false;
};

} // namespace Cardamomhill
