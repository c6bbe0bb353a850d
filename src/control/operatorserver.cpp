#include "control/operatorserver.h"

#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

} // namespace

OperatorServer::OperatorServer(asio::io_context &context, MetricsRegistry &metrics, Handlers handlers)
    : m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_server(context, bodilessLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
{
}

Result<void, NetError> OperatorServer::listen(const tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint, false);
}

Task<> OperatorServer::answer(HttpExchange &exchange)
{
    const auto target = exchange.request().target();
    if (target == "/healthz") {
        co_await exchange.sendAnswer(StatusOk, "text/plain", "ok\n");
    } else if (target == "/readyz") {
        const bool ready = m_handlers.isReady();
        co_await exchange.sendAnswer(
            ready ? StatusOk : StatusUnavailable, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (target == "/metrics") {
        co_await exchange.sendAnswer(StatusOk, "text/plain; version=0.0.4", m_metrics.prometheusText());
    } else if (target == "/status") {
        co_await exchange.sendAnswer(StatusOk, "application/json", m_handlers.status());
    } else {
        co_await exchange.sendAnswer(StatusNotFound, "text/plain", "/healthz, /readyz, /metrics, /status\n");
    }
}

} // namespace Cardamomhill
