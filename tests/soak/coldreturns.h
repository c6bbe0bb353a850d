#pragma once

#include "core/random.h"
#include "net/asio.h"
#include "soak/coldarrivals.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Cardamomhill
{

class Ledger;
class SoakServer;

/// Makes servers that return cold, and checks that the hosts together keep within the limit for cold servers.
class ColdReturns
{
public:
    /// Replaces the server with this index by a new instance.
    using Replace = std::function<Task<>(std::size_t)>;
    /// Writes a registration anew.
    using Register = std::function<void(const SoakServer &)>;

    ColdReturns(asio::io_context &context, std::uint64_t seed, Ledger &ledger, Replace replace, Register registerAgain);

    /// The settings of a host that limit its calls to cold servers.
    static std::string settings();
    /// Adds the limit to the services of a configuration.
    static void addLimit(nlohmann::json &configuration);

    /// Replaces servers at random times.
    Task<> replaceAtRandom(std::size_t servers, SteadyTime end);

    /// The current instance of a server is cold from now on, and registers again until it is warm.
    void makeCold(SoakServer &server);

    /// Counts and checks a call that a server runs.
    /// @param isHeldUp whether calls to the server may have been held up on their way
    void onRun(const std::string &call, const std::string &instance, bool isHeldUp);

    /// Ignores arrivals around a time in which this process did not run.
    Task<> watchDelays();

    /// Number of calls checked, and of instances that were cold.
    std::map<std::string, std::size_t> counts() const;

private:
    Task<> registerUntilWarm(SoakServer &server, std::string instance);
    Task<> sleep(Milliseconds time);

    asio::io_context &m_context;
    Random m_random;
    Ledger &m_ledger;
    Replace m_replace;
    Register m_register;
    ColdArrivals m_arrivals;
    std::map<std::string, std::size_t> m_counts;
};

} // namespace Cardamomhill
