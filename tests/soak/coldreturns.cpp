#include "soak/coldreturns.h"

#include "net/spawn.h"
#include "net/steadynow.h"
#include "soak/ledger.h"
#include "soak/soakserver.h"

#include <random>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ColdTime{3000};
constexpr double CallsPerSecond = 4;
constexpr double Overshoot = 1.5;
constexpr double Slack = 2;
constexpr std::size_t Limit = static_cast<std::size_t>(CallsPerSecond * Overshoot + Slack);
constexpr Milliseconds MinTimeBetweenReturns{600};
constexpr Milliseconds MaxTimeBetweenReturns{1800};
constexpr Milliseconds RegistrationInterval{500};
constexpr Milliseconds DelayCheckInterval{20};
/// A delay of this process that explains late arrivals. The hosts allow for calls that are up to 100 ms on the way.
constexpr Milliseconds ExcusedDelay{50};

} // namespace

ColdReturns::ColdReturns(
    asio::io_context &context, std::uint64_t seed, Ledger &ledger, Replace replace, Register registerAgain)
    : m_context(context)
    , m_random(seed)
    , m_ledger(ledger)
    , m_replace(std::move(replace))
    , m_register(std::move(registerAgain))
    , m_arrivals(Limit)
{
}

std::string ColdReturns::settings()
{
    return "cold_overshoot: " + std::to_string(Overshoot) + "\ncold_slack: " + std::to_string(Slack) + "\n";
}

void ColdReturns::addLimit(nlohmann::json &configuration)
{
    for (auto &service : configuration["services"]) {
        service["cold-start-s"] = std::chrono::duration<double>(ColdTime).count();
        service["cold-per-s"] = CallsPerSecond;
    }
}

Task<> ColdReturns::replaceAtRandom(std::size_t servers, SteadyTime end)
{
    std::uniform_int_distribution<Milliseconds::rep> time(MinTimeBetweenReturns.count(), MaxTimeBetweenReturns.count());
    std::uniform_int_distribution<std::size_t> index(0, servers - 1);
    while (steadyNow() < end) {
        co_await sleep(Milliseconds(time(m_random)));
        co_await m_replace(index(m_random));
    }
}

void ColdReturns::makeCold(SoakServer &server)
{
    const auto instance = server.entry().id;
    if (m_arrivals.isCold(instance, steadyNow())) {
        return;
    }
    ++m_counts["cold-instance"];
    const auto until = steadyNow() + ColdTime;
    server.setColdUntil(until);
    m_arrivals.setCold(instance, until);
    spawn(m_context.get_executor(), "soak-cold-registration", registerUntilWarm(server, instance));
}

Task<> ColdReturns::registerUntilWarm(SoakServer &server, std::string instance)
{
    bool isWarm = false;
    while (!isWarm) {
        co_await sleep(RegistrationInterval);
        isWarm = !m_arrivals.isCold(instance, steadyNow());
        if (server.entry().id != instance) {
            co_return;
        }
        m_register(server);
    }
}

void ColdReturns::onRun(const std::string &call, const std::string &instance, bool isHeldUp)
{
    const auto now = steadyNow();
    if (isHeldUp) {
        m_arrivals.forget(instance);
        return;
    }
    m_counts["cold"] += m_arrivals.isCold(instance, now) ? 1 : 0;
    if (!m_arrivals.recordRun(instance, now)) {
        m_ledger.addViolation("cold", call + " reached cold " + instance + " beyond its limit");
    }
}

Task<> ColdReturns::watchDelays()
{
    auto last = steadyNow();
    while (true) {
        co_await sleep(DelayCheckInterval);
        const auto now = steadyNow();
        if (now - last > DelayCheckInterval + ExcusedDelay) {
            m_arrivals.forgetAll();
            ++m_counts["delay-excused"];
        }
        last = now;
    }
}

std::map<std::string, std::size_t> ColdReturns::counts() const
{
    return m_counts;
}

Task<> ColdReturns::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

} // namespace Cardamomhill
