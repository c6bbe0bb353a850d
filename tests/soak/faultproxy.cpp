#include "soak/faultproxy.h"

#include "core/clocktypes.h"
#include "net/listen.h"
#include "net/spawn.h"

#include <boost/asio/write.hpp>

#include <array>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds LinkDelay{120};
/// How often a silent direction checks whether it may forward data again.
constexpr Milliseconds SilencePollInterval{20};
constexpr std::size_t BufferBytes = 16 * 1024;

void resetSocket(tcp::socket &socket)
{
    SystemError ignored;
    // A linger time of zero makes close() send a reset.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct FaultProxy::ConnectionPair {
    explicit ConnectionPair(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
};

FaultProxy::FaultProxy(asio::io_context &context, tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context)
    , m_target(std::move(target))
{
}

Result<void, NetError> FaultProxy::start()
{
    BOOST_OUTCOME_TRY(openListener(m_acceptor, {asio::ip::address_v4::loopback(), 0}, false));
    spawn(m_context.get_executor(), "proxy-accept", acceptLoop());
    return success();
}

tcp::endpoint FaultProxy::endpoint() const
{
    return m_acceptor.local_endpoint();
}

void FaultProxy::setTarget(tcp::endpoint target)
{
    m_target = std::move(target);
}

void FaultProxy::setState(LinkState state)
{
    m_state = state;
}

void FaultProxy::resetAll()
{
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            resetSocket(pair->client);
            resetSocket(pair->server);
        }
    }
    m_pairs.clear();
}

bool FaultProxy::isSilent(Direction direction) const
{
    return m_state == LinkState::Silent
        || m_state == (direction == Direction::Up ? LinkState::SilentUp : LinkState::SilentDown);
}

Task<> FaultProxy::acceptLoop()
{
    while (m_acceptor.is_open()) {
        const auto pair = std::make_shared<ConnectionPair>(m_context);
        SystemError error;
        co_await m_acceptor.async_accept(pair->client, storeError(error));
        if (error) {
            continue;
        }
        if (m_state == LinkState::Refusing) {
            resetSocket(pair->client);
            continue;
        }
        m_pairs.remove_if([](const auto &weak) { return weak.expired(); });
        m_pairs.push_back(pair);
        spawn(m_context.get_executor(), "proxy-connect", connect(pair));
    }
}

Task<> FaultProxy::connect(std::shared_ptr<ConnectionPair> pair)
{
    SystemError error;
    co_await pair->server.async_connect(m_target, storeError(error));
    if (error) {
        resetSocket(pair->client);
        co_return;
    }
    spawn(m_context.get_executor(), "proxy-up", copy(pair, Direction::Up));
    spawn(m_context.get_executor(), "proxy-down", copy(pair, Direction::Down));
}

Task<> FaultProxy::copy(std::shared_ptr<ConnectionPair> pair, Direction direction)
{
    auto &from = direction == Direction::Up ? pair->client : pair->server;
    auto &to = direction == Direction::Up ? pair->server : pair->client;
    std::array<char, BufferBytes> buffer{};
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), storeError(error));
        const bool hasEnded = static_cast<bool>(error);
        while (isSilent(direction) && from.is_open()) {
            timer.expires_after(SilencePollInterval);
            SystemError ignored;
            co_await timer.async_wait(storeError(ignored));
        }
        if (m_state == LinkState::Delayed) {
            timer.expires_after(LinkDelay);
            SystemError ignored;
            co_await timer.async_wait(storeError(ignored));
        }
        if (!hasEnded) {
            const auto bytes = asio::buffer(buffer.data(), size);
            co_await asio::async_write(to, bytes, storeError(error));
        }
    }
    SystemError ignored;
    pair->client.close(ignored);
    pair->server.close(ignored);
}

} // namespace Cardamomhill
