#include "agent/engineconnections.h"

#include "net/httpcall.h"

namespace Cardamomhill
{

namespace
{

/// Connections kept open between calls; more are closed after their call.
constexpr std::size_t MaxIdle = 64;

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

std::unique_ptr<HttpCall> EngineConnections::takeIdle()
{
    if (m_idle.empty()) {
        return nullptr;
    }
    auto call = std::move(m_idle.back());
    m_idle.pop_back();
    return call;
}

void EngineConnections::giveBack(std::unique_ptr<HttpCall> call)
{
    if (call->isReusable() && m_idle.size() < MaxIdle) {
        call->reset();
        m_idle.push_back(std::move(call));
    }
}

} // namespace Cardamomhill
