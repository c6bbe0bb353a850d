#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/httpserver.h"
#include "standins/modelengine.h"
#include "standins/plainservice.h"

namespace Cardamomhill
{

class HttpExchange;

/// A stand-in backend server: a model engine at /generate, a plain service at every other path.
class BackendService
{
public:
    BackendService(asio::io_context &context, Milliseconds stepTime);

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

private:
    Task<> answer(HttpExchange &exchange);
    Task<> answerFaults(HttpExchange &exchange);

    ModelEngine m_engine;
    PlainService m_plain;
    HttpServer m_server;
};

} // namespace Cardamomhill
