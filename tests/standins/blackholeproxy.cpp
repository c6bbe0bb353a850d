#include "standins/blackholeproxy.h"

#include "net/spawn.h"

#include <boost/asio/write.hpp>

#include <array>

namespace Cardamomhill
{

struct BlackholeProxy::ConnectionPair {
    explicit ConnectionPair(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    bool dropsData = false;
};

BlackholeProxy::BlackholeProxy(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_target(std::move(target))
{
}

void BlackholeProxy::start()
{
    spawn(m_context.get_executor(), "proxy-accept", acceptLoop());
}

void BlackholeProxy::dropData()
{
    for (const auto &pair : m_pairs) {
        pair->dropsData = true;
    }
}

Task<> BlackholeProxy::acceptLoop()
{
    while (m_acceptor.is_open()) {
        const auto pair = std::make_shared<ConnectionPair>(m_context);
        SystemError error;
        co_await m_acceptor.async_accept(pair->client, storeError(error));
        if (!error) {
            // Kept until the proxy is destroyed, so that a connection that drops data stays open.
            m_pairs.push_back(pair);
            spawn(m_context.get_executor(), "proxy-connect", connect(pair));
        }
    }
}

Task<> BlackholeProxy::connect(std::shared_ptr<ConnectionPair> pair)
{
    SystemError error;
    co_await pair->server.async_connect(m_target, storeError(error));
    if (error) {
        pair->client.close();
        co_return;
    }
    spawn(m_context.get_executor(), "proxy-up", copy(pair, pair->client, pair->server));
    spawn(m_context.get_executor(), "proxy-down", copy(pair, pair->server, pair->client));
}

Task<> BlackholeProxy::copy(std::shared_ptr<ConnectionPair> pair, tcp::socket &from, tcp::socket &to)
{
    std::array<char, 16 * 1024> buffer{};
    SystemError error;
    while (!error) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), storeError(error));
        if (pair->dropsData) {
            // The kernel acknowledges the bytes to the sender, but the receiver never gets them.
            continue;
        }
        if (!error) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), storeError(error));
        }
    }
    if (!pair->dropsData) {
        SystemError ignored;
        pair->client.close(ignored);
        pair->server.close(ignored);
    }
}

} // namespace Cardamomhill
