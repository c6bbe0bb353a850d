#include "soak/soakcaller.h"

#include "net/httpclient.h"
#include "net/steadynow.h"
#include "soak/soakhost.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ConnectTimeout{1000};
/// Deadline that callers state in each request; longer than the route's timeout, which therefore applies.
constexpr Milliseconds Deadline{5000};
constexpr Milliseconds RouteTimeout{2000};
/// How long callers wait for an answer: the timeout of the route and a second more.
constexpr Milliseconds AnswerTimeout = RouteTimeout + Milliseconds(1000);
constexpr Milliseconds MaxPause{30};
constexpr Milliseconds EarlyLeaveTimeout{60};
constexpr double IdempotentFraction = 0.5;
constexpr double NonIdempotentFraction = 0.2;
constexpr double SlowFraction = 0.1;
constexpr double EarlyLeaveFraction = 0.05;
constexpr int EventCount = 10;
constexpr unsigned Ok = 200;
const std::string Key = "k";

std::string eventsUpTo(int last)
{
    std::string text;
    for (int number = 1; number <= last; ++number) {
        const auto id = std::to_string(number);
        text.append("id: ").append(id).append("\ndata: event-").append(id).append("\n\n");
    }
    return text;
}

} // namespace

SoakCaller::SoakCaller(
    asio::io_context &context, std::string name, std::uint64_t seed, std::vector<SoakHost *> hosts, Ledger &ledger)
    : m_context(context)
    , m_name(std::move(name))
    , m_random(seed)
    , m_hosts(std::move(hosts))
    , m_ledger(ledger)
{
}

Task<> SoakCaller::run(SteadyTime until)
{
    asio::steady_timer timer(m_context);
    while (steadyNow() < until) {
        co_await sendRandomCall();
        std::uniform_int_distribution<Milliseconds::rep> pause(0, MaxPause.count());
        timer.expires_after(Milliseconds(pause(m_random)));
        SystemError error;
        co_await timer.async_wait(storeError(error));
    }
    m_idleConnections.clear();
}

HttpRequest SoakCaller::request(const std::string &id, const std::string &path, const std::string &key) const
{
    auto request = makeHttpRequest("POST", path, id);
    request.set("Host", "shop.example");
    request.set("Authorization", "Token " + key);
    request.set("Cardamomhill-Request-Id", id);
    request.set("Cardamomhill-Request-Deadline", std::to_string(Deadline.count()));
    return request;
}

Task<std::unique_ptr<HttpClientConnection>> SoakCaller::connect(std::size_t host)
{
    auto connection = std::make_unique<HttpClientConnection>(m_context);
    const auto connected = co_await connection->connect(m_hosts[host]->listen(), ConnectTimeout);
    if (connected.has_error()) {
        connection.reset();
    }
    co_return connection;
}

Task<unsigned> SoakCaller::probe(std::size_t host, std::string path, std::string key)
{
    const auto id = m_name + "-" + std::to_string(++m_calls);
    auto connection = co_await connect(host);
    if (!connection) {
        co_return 0;
    }
    m_ledger.sent(id, CallKind::Idempotent, host);
    auto callRequest = request(id, path, key);
    const auto started = co_await connection->start(std::move(callRequest), AnswerTimeout);
    co_return started.has_error() ? 0 : connection->status();
}

bool SoakCaller::isExcused(const SentCall &sent) const
{
    return !m_hosts[sent.host]->stability().isStableSince(sent.sentAt);
}

Task<> SoakCaller::sendRandomCall()
{
    std::uniform_real_distribution<double> fraction(0, 1);
    SentCall sent;
    sent.id = m_name + "-" + std::to_string(++m_calls);
    sent.host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
    sent.leavesEarly = fraction(m_random) < EarlyLeaveFraction;
    const double choice = fraction(m_random);
    sent.kind = choice < IdempotentFraction                   ? CallKind::Idempotent
        : choice < IdempotentFraction + NonIdempotentFraction ? CallKind::NonIdempotent
                                                              : CallKind::Stream;
    std::string path = "/draft/stream";
    if (sent.kind != CallKind::Stream) {
        const std::string behaviour = fraction(m_random) < SlowFraction ? "slow" : "ok";
        path = (sent.kind == CallKind::Idempotent ? "/safe/" : "/pay/") + behaviour;
    }
    auto connection = std::move(m_idleConnections[sent.host]);
    if (!connection) {
        connection = co_await connect(sent.host);
    }
    if (!connection) {
        co_return;
    }
    sent.sentAt = steadyNow();
    m_ledger.sent(sent.id, sent.kind, sent.host);
    auto callRequest = request(sent.id, path, Key);
    const auto started
        = co_await connection->start(std::move(callRequest), sent.leavesEarly ? EarlyLeaveTimeout : AnswerTimeout);
    if (started.has_error()) {
        if (sent.leavesEarly) {
            co_return;
        }
        if (started.error().code == NetErrorCode::TimedOut && !isExcused(sent)) {
            m_ledger.addViolation("answered in time",
                                  sent.id + " has no answer a second after the timeout of its route");
        }
        m_ledger.unanswered(sent.id, isExcused(sent) || started.error().code == NetErrorCode::TimedOut);
        co_return;
    }
    co_await readAnswer(*connection, sent);
    if (connection->isReusable()) {
        connection->reset();
        m_idleConnections[sent.host] = std::move(connection);
    }
}

Task<> SoakCaller::readAnswer(HttpClientConnection &connection, const SentCall &sent)
{
    m_ledger.answered(sent.id, connection.status());
    const auto status = connection.status();
    const bool hasSeal = connection.head().count("Cardamomhill-Response-Seal") > 0;
    std::string body;
    bool isComplete = false;
    while (true) {
        auto data = co_await connection.readSome(AnswerTimeout);
        if (data.has_error()) {
            break;
        }
        if (!data.value()) {
            isComplete = true;
            break;
        }
        body += *data.value();
        if (sent.leavesEarly) {
            co_return;
        }
    }
    if (status != Ok) {
        co_return;
    }
    if (!hasSeal) {
        m_ledger.addViolation("whole answer", sent.id + " got status 200 without a response seal");
    }
    if (sent.kind == CallKind::Stream) {
        checkEvents(sent, body, isComplete);
    } else if (isComplete) {
        checkBody(sent, body);
    }
}

void SoakCaller::checkBody(const SentCall &sent, const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || answer.value("body", "") != sent.id) {
        m_ledger.addViolation("whole answer", sent.id + " got an unexpected answer: " + body.substr(0, 200));
    } else if (!answer.value("key", "").empty() || answer.value("organisation", "") != "workshop") {
        m_ledger.addViolation("unexpected run",
                              sent.id + " reached its server with an API key or for another organisation");
    }
}

void SoakCaller::checkEvents(const SentCall &sent, const std::string &body, bool isComplete)
{
    const auto expected = eventsUpTo(EventCount);
    if (isComplete && body != expected) {
        m_ledger.addViolation("order", sent.id + " completed with unexpected events: " + body);
    } else if (!isComplete && !expected.starts_with(body)) {
        m_ledger.addViolation("order", sent.id + " got unexpected events: " + body);
    }
}

} // namespace Cardamomhill
