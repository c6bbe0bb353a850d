#pragma once

#include "net/asio.h"

#include <memory>
#include <vector>

namespace Cardamomhill
{

/// A TCP proxy between two processes under test. silence() makes all open connections lose every byte from then on,
/// without closing them, while new connections work: what a device does that lost its state.
class SilencingProxy
{
public:
    SilencingProxy(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target);

    void start();
    void silence();

private:
    struct Pair;

    Task<> acceptLoop();
    Task<> connect(std::shared_ptr<Pair> pair);
    static Task<> copy(std::shared_ptr<Pair> pair, tcp::socket &from, tcp::socket &to);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    std::vector<std::shared_ptr<Pair>> m_pairs;
};

} // namespace Cardamomhill
