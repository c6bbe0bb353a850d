#include "gateway/upstreampool.h"

#include "net/httpcall.h"

#include <algorithm>
#include <numeric>

namespace Cardamomhill
{

namespace
{

/// Servers end connections that are idle for some seconds; a request that crosses such an end is lost.
constexpr Milliseconds LongestIdle{3000};
/// Part of the server's own limit that is used, so that its end and a request do not cross.
constexpr int UsablePart = 2;
/// One server is used by many entry hosts, and the connections that it accepts are limited.
constexpr std::size_t MostKept = 8;

} // namespace

UpstreamPool::UpstreamPool() = default;
UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<HttpCall> UpstreamPool::take(const BackendServerId &server, SteadyTime now)
{
    const auto found = m_kept.find(server);
    if (found == m_kept.end()) {
        return nullptr;
    }
    auto &kept = found->second;
    while (!kept.empty()) {
        auto newest = std::move(kept.back());
        kept.pop_back();
        if (now < newest.usableUntil && newest.call->isQuiet()) {
            return std::move(newest.call);
        }
    }
    return nullptr;
}

void UpstreamPool::give(const BackendServerId &server,
                        std::unique_ptr<HttpCall> call,
                        std::optional<Seconds> serverKeeps,
                        SteadyTime now)
{
    auto &kept = m_kept[server];
    if (kept.size() >= MostKept) {
        return;
    }
    auto idle = LongestIdle;
    if (serverKeeps) {
        idle = std::min(idle, Milliseconds(*serverKeeps) / UsablePart);
    }
    call->reset();
    kept.push_back({std::move(call), now + idle});
}

void UpstreamPool::closeAll(const BackendServerId &server)
{
    m_kept.erase(server);
}

std::size_t UpstreamPool::size() const
{
    return std::accumulate(m_kept.begin(), m_kept.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
        return sum + entry.second.size();
    });
}

void UpstreamPool::tick(SteadyTime now)
{
    for (auto &[server, kept] : m_kept) {
        std::erase_if(kept, [now](const Kept &connection) { return connection.usableUntil <= now; });
    }
    std::erase_if(m_kept, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace Cardamomhill
