#include "net/httpclient.h"

#include "net/httpclientconnection.h"
#include "net/steadynow.h"

#include <algorithm>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

/// A running server accepts within milliseconds, while the kernel retransmits a lost SYN only after seconds. A new
/// attempt is therefore sooner than a longer wait, whatever the timeout of the call.
constexpr Milliseconds ConnectTimeout{500};

Task<Result<HttpResponse, NetError>>
readResponse(HttpClientConnection &connection, std::size_t maxBytes, SteadyTime deadline)
{
    HttpResponse response;
    response.head = connection.head();
    response.status = connection.status();
    response.contentType = connection.contentType();
    while (response.body.size() <= maxBytes) {
        auto piece = co_await connection.readSome(timeLeft(deadline));
        if (piece.has_error()) {
            co_return failure(piece.error());
        }
        if (!piece.value()) {
            co_return response;
        }
        response.body += *piece.value();
    }
    co_return failure(NetError{NetErrorCode::ReadFailed, "response too large"});
}

} // namespace

HttpClient::HttpClient(asio::io_context &context,
                       tcp::endpoint endpoint,
                       std::size_t maxResponseBytes,
                       ConnectionUse connectionUse)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_maxResponseBytes(maxResponseBytes)
    , m_connectionUse(connectionUse)
{
}

HttpClient::~HttpClient() = default;

Task<Result<HttpResponse, HttpCallError>> HttpClient::call(HttpRequest request, Milliseconds timeout)
{
    // Moved out of the member, so that a connection in an unknown state isn't reused after a failed call.
    auto connection = std::exchange(m_idleConnection, nullptr);
    const auto deadline = steadyNow() + timeout;
    if (connection && !connection->isOpenAndIdle()) {
        // The server has closed the kept-alive connection or has sent data that no request asked for.
        connection.reset();
    }
    if (!connection) {
        connection = std::make_unique<HttpClientConnection>(m_context);
        const auto connected = co_await connection->connect(m_endpoint, std::min(timeout, ConnectTimeout));
        if (connected.has_error()) {
            co_return failure(HttpCallError{connected.error(), true});
        }
    }
    m_activeConnection = connection.get();
    const auto started = co_await connection->start(std::move(request), timeLeft(deadline));
    if (started.has_error()) {
        m_activeConnection = nullptr;
        co_return failure(HttpCallError{started.error(), false});
    }
    auto response = co_await readResponse(*connection, m_maxResponseBytes, deadline);
    m_activeConnection = nullptr;
    if (response.has_error()) {
        co_return failure(HttpCallError{response.error(), false});
    }
    if (m_connectionUse == ConnectionUse::Kept && connection->isReusable()) {
        connection->reset();
        m_idleConnection = std::move(connection);
    }
    co_return std::move(response.value());
}

void HttpClient::abort()
{
    if (m_activeConnection != nullptr) {
        m_activeConnection->cancel();
    }
}

HttpRequest makeHttpRequest(std::string_view method, std::string_view target, std::string body)
{
    HttpRequest request;
    request.method_string({method.data(), method.size()});
    request.target({target.data(), target.size()});
    request.version(11);
    request.set(http::field::host, "localhost");
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace Cardamomhill
