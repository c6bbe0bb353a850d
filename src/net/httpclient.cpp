#include "net/httpclient.h"

#include "net/httpcall.h"
#include "net/steadynow.h"

#include <algorithm>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

/// A server that is up accepts in milliseconds. A lost opening packet is sent again only after seconds, so a new
/// attempt is sooner, however long the call itself may wait.
constexpr Milliseconds ConnectTimeout{500};

Task<Result<HttpResponse, NetError>> readResponse(HttpCall &call, std::size_t mostBytes, SteadyTime end)
{
    HttpResponse response;
    response.status = call.status();
    response.contentType = call.contentType();
    while (response.body.size() <= mostBytes) {
        auto piece = co_await call.readSome(timeLeft(end));
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

HttpClient::HttpClient(asio::io_context &context, tcp::endpoint endpoint, std::size_t mostResponseBytes)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_mostResponseBytes(mostResponseBytes)
{
}

HttpClient::~HttpClient() = default;

Task<Result<HttpResponse, HttpCallError>> HttpClient::call(HttpRequest request, Milliseconds timeout)
{
    // Taken out of the member, so that a failed call leaves no connection in an unknown state behind.
    auto call = std::exchange(m_call, nullptr);
    const auto end = steadyNow() + timeout;
    if (call && !call->isQuiet()) {
        // The server has closed the kept connection, or sent what nobody asked for.
        call.reset();
    }
    if (!call) {
        call = std::make_unique<HttpCall>(m_context);
        const auto connected = co_await call->connect(m_endpoint, std::min(timeout, ConnectTimeout));
        if (connected.has_error()) {
            co_return failure(HttpCallError{connected.error(), true});
        }
    }
    m_active = call.get();
    const auto started = co_await call->start(std::move(request), timeLeft(end));
    if (started.has_error()) {
        m_active = nullptr;
        co_return failure(HttpCallError{started.error(), false});
    }
    auto response = co_await readResponse(*call, m_mostResponseBytes, end);
    m_active = nullptr;
    if (response.has_error()) {
        co_return failure(HttpCallError{response.error(), false});
    }
    if (call->isReusable()) {
        call->reset();
        m_call = std::move(call);
    }
    co_return std::move(response.value());
}

void HttpClient::abort()
{
    if (m_active != nullptr) {
        m_active->cancel();
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
