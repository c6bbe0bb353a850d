#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/httpserver.h"
#include "net/neterror.h"

#include <functional>
#include <string>

namespace Cardamomhill
{

class HttpExchange;
class MetricsRegistry;

/// Serves health, readiness, status and metrics of a process over HTTP.
class OperatorServer
{
public:
    struct Handlers {
        std::function<bool()> isReady;
        /// Returns the JSON document that `cardamomhill status` prints.
        std::function<std::string()> status;
    };

    OperatorServer(asio::io_context &context, MetricsRegistry &metrics, Handlers handlers);

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

private:
    Task<> answer(HttpExchange &exchange);

    MetricsRegistry &m_metrics;
    Handlers m_handlers;
    HttpServer m_server;
};

} // namespace Cardamomhill
