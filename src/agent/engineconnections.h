#pragma once

#include "net/asio.h"

#include <memory>
#include <vector>

namespace Cardamomhill
{

class HttpClientConnection;

/// Pool of connections to the backend server on this host, reused by idempotent calls.
class EngineConnections
{
public:
    EngineConnections(asio::io_context &context, tcp::endpoint engine);
    ~EngineConnections();

    asio::io_context &context();
    const tcp::endpoint &engine() const;

    /// Takes an idle connection from the pool; null if there is none.
    std::unique_ptr<HttpClientConnection> takeIdleConnection();

    /// Returns the connection of a finished call to the pool if it is reusable and the pool has room.
    void returnConnection(std::unique_ptr<HttpClientConnection> connection);

private:
    asio::io_context &m_context;
    tcp::endpoint m_engine;
    std::vector<std::unique_ptr<HttpClientConnection>> m_idleConnections;
};

} // namespace Cardamomhill
