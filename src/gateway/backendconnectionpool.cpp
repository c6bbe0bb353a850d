#include "gateway/backendconnectionpool.h"

#include "net/httpclientconnection.h"

#include <algorithm>
#include <numeric>

namespace Cardamomhill
{

namespace
{

/// Servers close connections that are idle for some seconds; a request sent while the server closes is lost.
constexpr Milliseconds MaxIdleTime{3000};
/// Connections are used for the server's stated keep-alive time divided by this, so that no request is sent while the
/// server closes.
constexpr int ServerKeepAliveDivisor = 2;
/// Many entry hosts connect to one server, which accepts a limited number of connections.
constexpr std::size_t MaxIdlePerServer = 8;

} // namespace

BackendConnectionPool::BackendConnectionPool() = default;
BackendConnectionPool::~BackendConnectionPool() = default;

std::unique_ptr<HttpClientConnection> BackendConnectionPool::acquire(const BackendServerId &server, SteadyTime now)
{
    const auto found = m_idleConnections.find(server);
    if (found == m_idleConnections.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        auto newest = std::move(connections.back());
        connections.pop_back();
        if (now < newest.expiresAt && newest.connection->isOpenAndIdle()) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

void BackendConnectionPool::release(const BackendServerId &server,
                                    std::unique_ptr<HttpClientConnection> connection,
                                    std::optional<Seconds> serverKeepAlive,
                                    SteadyTime now)
{
    auto &connections = m_idleConnections[server];
    if (connections.size() >= MaxIdlePerServer) {
        return;
    }
    auto idle = MaxIdleTime;
    if (serverKeepAlive) {
        idle = std::min(idle, Milliseconds(*serverKeepAlive) / ServerKeepAliveDivisor);
    }
    connection->reset();
    connections.push_back({std::move(connection), now + idle});
}

void BackendConnectionPool::closeAll(const BackendServerId &server)
{
    m_idleConnections.erase(server);
}

std::size_t BackendConnectionPool::size() const
{
    return std::accumulate(m_idleConnections.begin(),
                           m_idleConnections.end(),
                           std::size_t{0},
                           [](std::size_t sum, const auto &entry) { return sum + entry.second.size(); });
}

void BackendConnectionPool::closeExpired(SteadyTime now)
{
    for (auto &[server, connections] : m_idleConnections) {
        std::erase_if(connections, [now](const IdleConnection &connection) { return connection.expiresAt <= now; });
    }
    std::erase_if(m_idleConnections, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace Cardamomhill
