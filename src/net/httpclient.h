#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/httpresponse.h"
#include "net/neterror.h"

#include <memory>

namespace Cardamomhill
{

class HttpCall;

/// What a failed call says about its request.
struct HttpCallError {
    NetError error;
    /// The request never left, so the server did not see it.
    bool wasNotSent = false;
};

/// Whole calls to one server over a connection that is kept open between them. One call at a time.
class HttpClient
{
public:
    /// @param mostResponseBytes length of a body from which on a response counts as malformed
    HttpClient(asio::io_context &context, tcp::endpoint endpoint, std::size_t mostResponseBytes = MostResponseBytes);
    ~HttpClient();

    /// @param timeout of the whole call, however its answer arrives
    Task<Result<HttpResponse, HttpCallError>> call(HttpRequest request, Milliseconds timeout);

    /// Ends the call that is under way, if any, as a failed one.
    void abort();

private:
    /// A list of 38,000 organisations is about 11 MB.
    static constexpr std::size_t MostResponseBytes = 64 * 1024 * 1024;

    asio::io_context &m_context;
    tcp::endpoint m_endpoint;
    std::size_t m_mostResponseBytes;
    std::unique_ptr<HttpCall> m_call;
    /// The call that is under way.
    HttpCall *m_active = nullptr;
};

/// Makes a request for a whole call.
HttpRequest makeHttpRequest(std::string_view method, std::string_view target, std::string body = {});

} // namespace Cardamomhill
