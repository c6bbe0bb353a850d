#include "agent/engineconnections.h"

#include "net/httpcall.h"

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

std::unique_ptr<HttpCall> EngineConnections::takeIdleConnection()
{
    if (m_idleConnections.empty()) {
        return nullptr;
    }
    auto call = std::move(m_idleConnections.back());
    m_idleConnections.pop_back();
    return call;
}

void EngineConnections::returnConnection(std::unique_ptr<HttpCall> call)
{
    if (call->isReusable() && m_idleConnections.size() < MaxIdleConnections) {
        call->reset();
        m_idleConnections.push_back(std::move(call));
    }
}

} // namespace Cardamomhill
