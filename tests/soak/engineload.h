#pragma once

#include "core/random.h"
#include "net/asio.h"
#include "soak/enginerequest.h"
#include "soak/outagerecord.h"
#include "soak/servedshare.h"
#include "standins/enginegroup.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class Ledger;
class PlatformStore;
class SoakHost;

/// A service of engines in the soak and requests to it: stops all its engines at times, or sends more of the less
/// urgent requests than they can serve, and checks what becomes of the requests.
class EngineLoad
{
public:
    struct Options {
        /// Whether too many of the less urgent requests are sent at times; otherwise all engines stop at times.
        bool hasUrgency = false;
        std::uint64_t seed = 1;
    };

    /// Notified when an outage begins and when it ends.
    using OutageObserver = std::function<void(bool isOut)>;

    EngineLoad(asio::io_context &context,
               Options options,
               std::vector<SoakHost *> hosts,
               Ledger &ledger,
               OutageObserver onOutage);

    /// Starts the engines and registers them.
    void start(PlatformStore &store);

    /// The settings of a host by which it notices outages.
    static std::string settings();
    /// Adds the service, its routes and the organisations.
    void addService(nlohmann::json &configuration) const;

    /// Sends requests and disturbs the service until the given time, then goes on sending until the other one.
    Task<> run(SteadyTime disturbedUntil, SteadyTime until);

    /// Adds the violations of the complete record to the ledger.
    void judge();

    /// Number of checks of each kind.
    std::map<std::string, std::size_t> counts() const;

private:
    /// The answer to one try of a request.
    struct Answer {
        bool isServed = false;
        /// After which time the request may be sent again; empty if it was not rejected.
        std::optional<Milliseconds> retryAfter;
    };

    Task<> stopEngines(SteadyTime end);
    void setOutage(bool isOut);
    Task<> sendSteadily(std::string kind, std::string organisation, Milliseconds interval, SteadyTime until);
    /// Sends a request, and once more if it was rejected.
    Task<> send(EngineRequest request);
    Task<Answer> tryOnce(const EngineRequest &request, std::string id);
    bool isExcused(const EngineRequest &request) const;
    Task<> sleep(Milliseconds time);
    Milliseconds randomBetween(Milliseconds low, Milliseconds high);

    asio::io_context &m_context;
    Options m_options;
    Random m_random;
    std::vector<SoakHost *> m_hosts;
    Ledger &m_ledger;
    OutageObserver m_onOutage;
    EngineGroup m_group;
    OutageRecord m_outages;
    ServedShare m_served;
    bool m_isSurge = false;
    std::uint64_t m_requests = 0;
    std::size_t m_excused = 0;
};

} // namespace Cardamomhill
