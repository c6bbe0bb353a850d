#include "agent/enginerequest.h"

#include "wire/execute.h"

namespace Cardamomhill
{

namespace http = boost::beast::http;

HttpRequest engineRequest(const Execute &execute)
{
    HttpRequest request;
    request.method_string(execute.method);
    request.target(execute.target);
    request.version(11);
    request.set(http::field::host, "localhost");
    request.set("X-Request-Id", execute.request);
    request.set("X-Organisation", execute.organisation);
    request.set("X-Priority", std::to_string(execute.priority));
    if (!execute.contentType.empty()) {
        request.set(http::field::content_type, execute.contentType);
    }
    if (!execute.idempotencyKey.empty()) {
        request.set("Idempotency-Key", execute.idempotencyKey);
    }
    request.body() = execute.body;
    request.prepare_payload();
    return request;
}

} // namespace Cardamomhill
