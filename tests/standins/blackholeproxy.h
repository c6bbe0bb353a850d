#pragma once

#include "net/asio.h"

#include <memory>
#include <vector>

namespace Cardamomhill
{

/// A TCP proxy between two processes under test. From a call of dropData() on, all connections that were open then drop
/// every byte without being closed, while new connections work, as with a firewall that lost its connection table.
class BlackholeProxy
{
public:
    BlackholeProxy(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target);

    void start();
    void dropData();

private:
    struct ConnectionPair;

    Task<> acceptLoop();
    Task<> connect(std::shared_ptr<ConnectionPair> pair);
    static Task<> copy(std::shared_ptr<ConnectionPair> pair, tcp::socket &from, tcp::socket &to);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::vector<std::shared_ptr<ConnectionPair>> m_pairs;
};

} // namespace Cardamomhill
