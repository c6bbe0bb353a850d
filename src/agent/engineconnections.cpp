#include "agent/engineconnections.h"

#include "net/httpclientconnection.h"

namespace Cardamomhill
{

namespace
{

/// Maximum number of idle connections; others are closed after their call.
constexpr std::size_t MaxIdleConnections = 64;

} // namespace

EngineConnections::EngineConnections(asio::io_context &context, tcp::endpoint engine)
    : m_context(context)
    , m_engine(std::move(engine))
{
}

EngineConnections::~EngineConnections() = default;

asio::io_context &EngineConnections::context()
{
    return m_context;
}

const tcp::endpoint &EngineConnections::engine() const
{
    return m_engine;
}

std::unique_ptr<HttpClientConnection> EngineConnections::takeIdleConnection()
{
    if (m_idleConnections.empty()) {
        return nullptr;
    }
    auto connection = std::move(m_idleConnections.back());
    m_idleConnections.pop_back();
    return connection;
}

void EngineConnections::returnConnection(std::unique_ptr<HttpClientConnection> connection)
{
    if (connection->isReusable() && m_idleConnections.size() < MaxIdleConnections) {
        connection->reset();
        m_idleConnections.push_back(std::move(connection));
    }
}

} // namespace Cardamomhill
