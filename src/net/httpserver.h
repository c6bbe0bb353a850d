#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/httplimits.h"
#include "net/neterror.h"

#include <functional>
#include <list>
#include <memory>

namespace Cardamomhill
{

class HttpExchange;

/// Accepts HTTP/1.1 connections on one thread and hands each request to a coroutine.
class HttpServer
{
public:
    using Handler = std::function<Task<>(HttpExchange &)>;

    HttpServer(asio::io_context &context, HttpLimits limits, Handler handler);
    ~HttpServer();

    Result<void, NetError> listen(const tcp::endpoint &endpoint, bool shared);

    /// Applies to requests that begin from now on.
    void setLimits(const HttpLimits &limits);

    /// Whether callers are asked to close their connections after their next answer. New ones are still taken.
    void setCloseAfterAnswers(bool closes);

    /// Takes no further connections and asks callers to close the others. Those that the system has accepted already
    /// are served, and so is what arrives on idle ones for a short time, since callers do not know yet.
    void stopAccepting();

    std::size_t connectionCount() const;

private:
    struct Connection;

    Task<> acceptLoop();
    void acceptWaiting();
    void take(tcp::socket socket);
    Task<> closeIdleLater();
    Task<> serve(std::shared_ptr<Connection> connection);
    Task<bool> serveOne(Connection &connection);
    /// Reads on for a while after a request was refused unread. To close at once would reset the connection, and a
    /// caller that is still sending might not read the answer.
    Task<> discardRest(Connection &connection);
    std::shared_ptr<asio::steady_timer> startRequestTimer(Connection &connection);

    asio::io_context &m_context;
    HttpLimits m_limits;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::size_t m_connectionCount = 0;
    bool m_closesAfterAnswers = false;
    bool m_isStopping = false;
};

} // namespace Cardamomhill
