#include "standins/silencingproxy.h"

#include "net/spawn.h"

#include <boost/asio/write.hpp>

#include <array>

namespace Cardamomhill
{

struct SilencingProxy::Pair {
    explicit Pair(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }

    tcp::socket client;
    tcp::socket server;
    bool isSilent = false;
};

SilencingProxy::SilencingProxy(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_target(std::move(target))
{
}

void SilencingProxy::start()
{
    spawn(m_context.get_executor(), "proxy-accept", acceptLoop());
}

void SilencingProxy::silence()
{
    for (const auto &pair : m_pairs) {
        pair->isSilent = true;
    }
}

Task<> SilencingProxy::acceptLoop()
{
    while (m_acceptor.is_open()) {
        const auto pair = std::make_shared<Pair>(m_context);
        SystemError error;
        co_await m_acceptor.async_accept(pair->client, storeError(error));
        if (!error) {
            // Kept for good, so that a silent connection is never closed.
            m_pairs.push_back(pair);
            spawn(m_context.get_executor(), "proxy-connect", connect(pair));
        }
    }
}

Task<> SilencingProxy::connect(std::shared_ptr<Pair> pair)
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

Task<> SilencingProxy::copy(std::shared_ptr<Pair> pair, tcp::socket &from, tcp::socket &to)
{
    std::array<char, 16 * 1024> buffer{};
    SystemError error;
    while (!error) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), storeError(error));
        if (pair->isSilent) {
            // Read and dropped: the sender gets its acknowledgements from here, but nobody gets the bytes.
            continue;
        }
        if (!error) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), storeError(error));
        }
    }
    if (!pair->isSilent) {
        SystemError ignored;
        pair->client.close(ignored);
        pair->server.close(ignored);
    }
}

} // namespace Cardamomhill
