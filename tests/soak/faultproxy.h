#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "soak/linkstate.h"

#include <list>
#include <memory>

namespace Cardamomhill
{

/// A TCP proxy on the loopback interface that can delay, hold back, refuse or reset the connections through it.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, tcp::endpoint target);

    /// Listens on a free port.
    Result<void, NetError> start();

    tcp::endpoint endpoint() const;

    /// Sets the target of new connections.
    void setTarget(tcp::endpoint target);

    void setState(LinkState state);

    /// Resets all open connections.
    void resetAll();

private:
    struct ConnectionPair;
    enum class Direction {
        Up,
        Down,
    };

    Task<> acceptLoop();
    Task<> connect(std::shared_ptr<ConnectionPair> pair);
    Task<> copy(std::shared_ptr<ConnectionPair> pair, Direction direction);
    bool isSilent(Direction direction) const;

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    LinkState m_state = LinkState::Open;
    std::list<std::weak_ptr<ConnectionPair>> m_pairs;
};

} // namespace Cardamomhill
