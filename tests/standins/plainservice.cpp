#include "standins/plainservice.h"

#include "core/clocktypes.h"

#include "net/httpexchange.h"

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusOk = 200;

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

PlainService::PlainService(asio::io_context &context)
    : m_context(context)
{
}

Task<> PlainService::execute(HttpExchange &exchange)
{
    const auto &request = exchange.request();
    m_executions.push_back({{"path", toString(request.target())},
                            {"key", toString(request["Idempotency-Key"])},
                            {"request", toString(request["X-Request-Id"])},
                            {"body", request.body()}});
    const auto number = m_executions.size();
    if (m_faults.delayMs > 0) {
        asio::steady_timer timer(m_context, Milliseconds(m_faults.delayMs));
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }
    if (m_faults.loseAnswers > 0) {
        // The server closes the connection when a handler returns without an answer.
        --m_faults.loseAnswers;
        co_return;
    }
    const nlohmann::json json{{"execution", number}};
    co_await exchange.sendAnswer(StatusOk, "application/json", json.dump());
}

std::string PlainService::executions() const
{
    return m_executions.dump();
}

void PlainService::setFaults(const BackendFaults &faults)
{
    m_faults = faults;
}

} // namespace Cardamomhill
