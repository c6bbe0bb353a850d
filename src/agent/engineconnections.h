#pragma once

#include "net/asio.h"

#include <memory>
#include <vector>

namespace Cardamomhill
{

class HttpCall;

/// Connections to the backend server of this host that idempotent calls share one after the other.
class EngineConnections
{
public:
    EngineConnections(asio::io_context &context, tcp::endpoint engine);
    ~EngineConnections();

    asio::io_context &context();
    const tcp::endpoint &engine() const;

    /// A connection that an earlier call left open, or null.
    std::unique_ptr<HttpCall> takeIdle();

    /// Keeps the connection of a finished call if it can carry another one.
    void giveBack(std::unique_ptr<HttpCall> call);

private:
    asio::io_context &m_context;
    tcp::endpoint m_engine;
    std::vector<std::unique_ptr<HttpCall>> m_idle;
};

} // namespace Cardamomhill
