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
/// What callers state, and how long they wait for any answer: the route's limit and a second more.
constexpr Milliseconds Deadline{5000};
constexpr Milliseconds RouteTimeout{2000};
constexpr Milliseconds Patience = RouteTimeout + Milliseconds(1000);
constexpr Milliseconds LongestPause{30};
constexpr Milliseconds EarlyLeave{60};
constexpr double IdempotentPart = 0.5;
constexpr double NonIdempotentPart = 0.2;
constexpr double SlowPart = 0.1;
constexpr double EarlyPart = 0.05;
constexpr int Events = 10;
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
        co_await callOnce();
        std::uniform_int_distribution<Milliseconds::rep> pause(0, LongestPause.count());
        timer.expires_after(Milliseconds(pause(m_random)));
        SystemError error;
        co_await timer.async_wait(storeError(error));
    }
    m_kept.clear();
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
    auto message = request(id, path, key);
    const auto started = co_await connection->start(std::move(message), Patience);
    co_return started.has_error() ? 0 : connection->status();
}

bool SoakCaller::isExcused(const Sent &sent) const
{
    return !m_hosts[sent.host]->calmness().isCalmSince(sent.at);
}

Task<> SoakCaller::callOnce()
{
    std::uniform_real_distribution<double> part(0, 1);
    Sent sent;
    sent.id = m_name + "-" + std::to_string(++m_calls);
    sent.host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
    sent.leavesEarly = part(m_random) < EarlyPart;
    const double pick = part(m_random);
    sent.kind = pick < IdempotentPart               ? CallKind::Idempotent
        : pick < IdempotentPart + NonIdempotentPart ? CallKind::NonIdempotent
                                                    : CallKind::Stream;
    std::string path = "/draft/stream";
    if (sent.kind != CallKind::Stream) {
        const std::string manner = part(m_random) < SlowPart ? "slow" : "ok";
        path = (sent.kind == CallKind::Idempotent ? "/safe/" : "/pay/") + manner;
    }
    auto connection = std::move(m_kept[sent.host]);
    if (!connection) {
        connection = co_await connect(sent.host);
    }
    if (!connection) {
        co_return;
    }
    sent.at = steadyNow();
    m_ledger.sent(sent.id, sent.kind, sent.host);
    auto message = request(sent.id, path, Key);
    const auto started = co_await connection->start(std::move(message), sent.leavesEarly ? EarlyLeave : Patience);
    if (started.has_error()) {
        if (sent.leavesEarly) {
            co_return;
        }
        if (started.error().code == NetErrorCode::TimedOut && !isExcused(sent)) {
            m_ledger.broke("answered in time", sent.id + " has no answer a second after its route's limit");
        }
        m_ledger.unanswered(sent.id, isExcused(sent) || started.error().code == NetErrorCode::TimedOut);
        co_return;
    }
    co_await readAnswer(*connection, sent);
    if (connection->isReusable()) {
        connection->reset();
        m_kept[sent.host] = std::move(connection);
    }
}

Task<> SoakCaller::readAnswer(HttpClientConnection &connection, const Sent &sent)
{
    m_ledger.answered(sent.id, connection.status());
    const auto status = connection.status();
    const bool isSigned = connection.head().count("Cardamomhill-Response-Seal") > 0;
    std::string body;
    bool isComplete = false;
    while (true) {
        auto piece = co_await connection.readSome(Patience);
        if (piece.has_error()) {
            break;
        }
        if (!piece.value()) {
            isComplete = true;
            break;
        }
        body += *piece.value();
        if (sent.leavesEarly) {
            co_return;
        }
    }
    if (status != Ok) {
        co_return;
    }
    if (!isSigned) {
        m_ledger.broke("whole answer", sent.id + " got a success without a server's signature");
    }
    if (sent.kind == CallKind::Stream) {
        checkEvents(sent, body, isComplete);
    } else if (isComplete) {
        checkBody(sent, body);
    }
}

void SoakCaller::checkBody(const Sent &sent, const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || answer.value("body", "") != sent.id) {
        m_ledger.broke("whole answer", sent.id + " got another answer: " + body.substr(0, 200));
    } else if (!answer.value("key", "").empty() || answer.value("organisation", "") != "workshop") {
        m_ledger.broke("unasked", sent.id + " reached its server with a key or for another organisation");
    }
}

void SoakCaller::checkEvents(const Sent &sent, const std::string &body, bool isComplete)
{
    const auto all = eventsUpTo(Events);
    if (isComplete && body != all) {
        m_ledger.broke("order", sent.id + " ended as complete after: " + body);
    } else if (!isComplete && !all.starts_with(body)) {
        m_ledger.broke("order", sent.id + " got: " + body);
    }
}

} // namespace Cardamomhill
