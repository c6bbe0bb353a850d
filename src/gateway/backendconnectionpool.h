#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/answerhead.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

class HttpClientConnection;

/// Idle connections to backend servers, kept open for later calls.
class BackendConnectionPool
{
public:
    BackendConnectionPool();
    ~BackendConnectionPool();

    /// Takes an idle connection to a server out of the pool, or returns null. Connections that have expired, were
    /// closed by the server or received data since their last answer are dropped.
    std::unique_ptr<HttpClientConnection> acquire(const BackendServerId &server, SteadyTime now);

    /// Returns a connection to the pool after a complete answer.
    /// @param serverKeepAlive how long the server keeps an idle connection open, if it states that
    void release(const BackendServerId &server,
                 std::unique_ptr<HttpClientConnection> connection,
                 std::optional<Seconds> serverKeepAlive,
                 SteadyTime now);

    void closeAll(const BackendServerId &server);

    std::size_t size() const;

    /// Closes connections whose idle time is over. To be called periodically.
    void closeExpired(SteadyTime now);

private:
    struct IdleConnection {
        std::unique_ptr<HttpClientConnection> connection;
        SteadyTime expiresAt;
    };

    std::unordered_map<BackendServerId, std::vector<IdleConnection>> m_idleConnections;
};

} // namespace Cardamomhill
