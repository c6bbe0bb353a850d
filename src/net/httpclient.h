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
    HttpClient(asio::io_context &context, tcp::endpoint endpoint);
    ~HttpClient();

    Task<Result<HttpResponse, HttpCallError>> call(HttpRequest request, Milliseconds timeout);

private:
    asio::io_context &m_context;
    tcp::endpoint m_endpoint;
    std::unique_ptr<HttpCall> m_call;
};

/// Makes a request for a whole call.
HttpRequest makeHttpRequest(std::string_view method, std::string_view target, std::string body = {});

} // namespace Cardamomhill
