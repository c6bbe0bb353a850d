#pragma once

#include "core/result.h"
#include "net/answerbudget.h"
#include "net/asio.h"
#include "net/bodymemory.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpservercounts.h"
#include "net/neterror.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace Cardamomhill
{

/// HTTP/1.1 server on one thread. Each request is handled by a coroutine.
class HttpServer
{
public:
    using Handler = std::function<Task<>(HttpExchange &)>;
    /// Whether a request with this head is refused whatever its body is.
    using HeadCheck = std::function<bool(const HttpRequest::header_type &)>;

    HttpServer(asio::io_context &context, HttpLimits limits, Handler handler);
    ~HttpServer();

    /// @param shared whether several threads may listen on the port, see openListener()
    Result<void, NetError> listen(const tcp::endpoint &endpoint, bool shared);

    /// Sets the limits for connections and requests that begin from now on.
    void setLimits(const HttpLimits &limits);

    /// Sets a check of requests whose bodies did not arrive with their heads, unless they are small. If the check
    /// returns true, the request goes to the handler without its body, which must answer it with a refusal; the
    /// connection is closed after that.
    void setHeadCheck(HeadCheck check);

    /// Sets whether each connection is closed after its next answer. New connections are still accepted.
    void setCloseAfterAnswers(bool closes);

    /// Stops listening and closes each connection after its next answer. Connections that wait in the backlog are still
    /// served, and so are requests that arrive on idle connections for a short time, since their callers do not know
    /// yet that the server stops.
    /// @return how many connections were in the backlog
    std::size_t stopAccepting();

    std::size_t connectionCount() const;

    /// Bytes of request bodies that are arriving or belong to requests in progress.
    std::size_t bodyBytes() const;

    /// Bytes that answers hold for their callers.
    std::size_t answerBytes() const;

    HttpServerCounts counts() const;

private:
    struct Connection;

    Task<> acceptLoop();
    std::size_t acceptBacklog();
    void startConnection(tcp::socket socket);
    Task<> closeIdleConnections();
    /// Closes the connection that has waited longest for its caller, to make room for another one. Returns false if
    /// none has waited long enough.
    bool displaceConnection();
    Task<> serveConnection(std::shared_ptr<Connection> connection);
    Task<bool> serveRequest(Connection &connection);
    Task<Result<HttpRequest, NetError>> readRequest(Connection &connection);
    Task<Result<void, NetError>> readBody(Connection &connection);
    bool skipsBody(const Connection &connection) const;
    /// Ends sending, then reads and discards data until the caller closes, for a limited time. Closing with unread data
    /// would reset the connection, and the caller would lose what it has not received of the answer.
    Task<> discardUnread(Connection &connection);
    /// Cancels reads on the connection once the request timeout has elapsed, unless the timer is cancelled before.
    std::shared_ptr<asio::steady_timer> startRequestTimer(Connection &connection);

    asio::io_context &m_context;
    HttpLimits m_limits;
    Handler m_handler;
    HeadCheck m_headCheck;
    BodyMemory m_bodyMemory;
    std::shared_ptr<AnswerBudget> m_answerBudget;
    HttpServerCounts m_counts;
    /// Where all connections put what they discard.
    std::vector<char> m_discardBuffer;
    tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::size_t m_connectionCount = 0;
    bool m_closesAfterAnswers = false;
    bool m_isStopping = false;
};

} // namespace Cardamomhill
