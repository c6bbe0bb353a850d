#include "soak/randomevacuations.h"

#include "net/steadynow.h"
#include "soak/documents.h"
#include "soak/storewriter.h"

#include <random>

namespace Cardamomhill
{

namespace
{

/// Time within which calls to an evacuated failure domain must stop, and how long evacuations and pauses between them
/// last.
constexpr Milliseconds EvacuationLimit{2000};
constexpr Milliseconds MinEvacuationTime{1000};
constexpr Milliseconds MaxEvacuationTime{6000};

} // namespace

RandomEvacuations::RandomEvacuations(asio::io_context &context, std::uint64_t seed, StoreWriter &store)
    : m_context(context)
    , m_random(seed)
    , m_store(store)
{
}

std::string RandomEvacuations::settings()
{
    return "evacuation_limit_ms: " + std::to_string(EvacuationLimit.count()) + "\n";
}

Task<> RandomEvacuations::run(SteadyTime end)
{
    std::uniform_int_distribution<Milliseconds::rep> time(MinEvacuationTime.count(), MaxEvacuationTime.count());
    const std::string kind = "/objects/evacuations";
    const std::string object = std::string(kind).append("/").append(Domain);
    while (steadyNow() < end) {
        co_await sleep(Milliseconds(time(m_random)) / 2);
        const auto document = objectDocument(Domain, "{}");
        m_since = co_await m_store.write("POST", kind, document);
        ++m_count;
        co_await sleep(Milliseconds(time(m_random)));
        m_since = SteadyTime::max();
        co_await m_store.write("DELETE", object, "");
    }
}

SteadyTime RandomEvacuations::since() const
{
    return m_since;
}

bool RandomEvacuations::isInForce() const
{
    return m_since != SteadyTime::max() && steadyNow() - m_since > EvacuationLimit;
}

std::size_t RandomEvacuations::count() const
{
    return m_count;
}

Task<> RandomEvacuations::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

} // namespace Cardamomhill
