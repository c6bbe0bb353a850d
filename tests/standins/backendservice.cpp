#include "standins/backendservice.h"

#include "net/httpexchange.h"

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr std::string_view Json = "application/json";

} // namespace

BackendService::BackendService(asio::io_context &context, Milliseconds stepTime)
    : m_engine(context, stepTime)
    , m_plain(context)
    , m_server(context, HttpLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
{
}

Result<void, NetError> BackendService::listen(const tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint, false);
}

Task<> BackendService::answer(HttpExchange &exchange)
{
    const auto target = exchange.request().target();
    if (target == "/generate") {
        co_await m_engine.generate(exchange);
    } else if (target == "/load") {
        co_await exchange.sendAnswer(StatusOk, std::string(Json), m_engine.load());
    } else if (target == "/executions") {
        co_await exchange.sendAnswer(StatusOk, std::string(Json), m_plain.executions());
    } else if (target == "/faults") {
        co_await answerFaults(exchange);
    } else {
        co_await m_plain.execute(exchange);
    }
}

Task<> BackendService::answerFaults(HttpExchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    if (!json.is_object()) {
        co_await exchange.sendAnswer(StatusBadRequest, std::string(Json), R"({"error":"not a JSON object"})");
        co_return;
    }
    m_engine.setFaults(parseBackendFaults(json));
    m_plain.setFaults(parseBackendFaults(json));
    co_await exchange.sendAnswer(StatusOk, std::string(Json), json.dump());
}

} // namespace Cardamomhill
