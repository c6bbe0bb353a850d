#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/httpresponse.h"
#include "net/neterror.h"

#include <cstdint>
#include <memory>

namespace Cardamomhill
{

class HttpClientConnection;

/// Why a call failed, and whether the server may have received its request.
struct HttpCallError {
    NetError error;
    /// No connection was made, so the server did not receive the request.
    bool isNotSent = false;
};

/// Which connection a call uses. On a connection that carried another call, a server that repeats an answer late sends
/// it where the next one is due.
enum class ConnectionUse : std::uint8_t {
    /// That of the last call, if it is still open.
    Kept,
    /// One of its own, for calls whose answers do not name the request that they belong to.
    Own,
};

/// HTTP client for one server that returns whole answers and keeps its connection alive between calls. One call at a
/// time.
class HttpClient
{
public:
    /// @param maxResponseBytes a call fails if the body of its answer is longer
    HttpClient(asio::io_context &context,
               tcp::endpoint endpoint,
               std::size_t maxResponseBytes = MaxResponseBytes,
               ConnectionUse connectionUse = ConnectionUse::Kept);
    ~HttpClient();

    /// @param timeout for the whole call, also if the answer keeps arriving in small pieces
    Task<Result<HttpResponse, HttpCallError>> call(HttpRequest request, Milliseconds timeout);

    /// Makes the call in progress fail, if there is one.
    void abort();

private:
    /// Leaves room for the largest known answer, a list of 38,000 organisations of about 11 MB.
    static constexpr std::size_t MaxResponseBytes = 16 * 1024 * 1024;

    asio::io_context &m_context;
    tcp::endpoint m_endpoint;
    std::size_t m_maxResponseBytes;
    ConnectionUse m_connectionUse;
    std::unique_ptr<HttpClientConnection> m_idleConnection;
    /// The connection of the call in progress, once it is connected; else null.
    HttpClientConnection *m_activeConnection = nullptr;
};

/// Builds an HTTP/1.1 request with a JSON body, or with none.
HttpRequest makeHttpRequest(std::string_view method, std::string_view target, std::string body = {});

} // namespace Cardamomhill
