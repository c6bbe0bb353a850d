#include "soak/stopcaller.h"

#include "net/httpclient.h"
#include "net/steadynow.h"
#include "soak/stophost.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ConnectTimeout{1000};
/// The timeout of all routes, and a second more.
constexpr Milliseconds AnswerTimeout{3000};
/// Some streams and slow calls take longer than the timeout of their route.
constexpr double MaxWorkMs = 2400;
constexpr double MinWorkMs = 10;
constexpr Milliseconds::rep MinEventIntervalMs = 10;
constexpr Milliseconds::rep MaxEventIntervalMs = 100;
constexpr std::size_t MaxFillerBytes = 60000;
constexpr double FillerFraction = 0.1;
constexpr double PauseFraction = 0.4;
/// Longer than a stream may be silent (1.2 s), and with its events shorter than the timeout of the route.
constexpr Milliseconds::rep MinPauseMs = 1250;
constexpr Milliseconds::rep MaxPauseMs = 1700;
constexpr int EventsOfPausedStream = 4;
/// Of callers of engine groups: the share of streams among their calls, the most events of one, and how long they wait
/// for the next event and for the whole answer.
constexpr double EngineStreamFraction = 0.9;
constexpr double MaxEngineEvents = 250;
constexpr Milliseconds MaxEventPause{2000};
constexpr Milliseconds EngineAnswerTimeout{9000};
constexpr unsigned Ok = 200;

} // namespace

StopCaller::StopCaller(asio::io_context &context,
                       std::string name,
                       std::uint64_t seed,
                       std::map<std::size_t, StopHost *> hosts,
                       Ledger &ledger,
                       Calls &calls)
    : m_context(context)
    , m_name(std::move(name))
    , m_random(seed)
    , m_hosts(std::move(hosts))
    , m_ledger(ledger)
    , m_calls(calls)
{
}

Task<> StopCaller::run(SteadyTime until)
{
    constexpr std::array<Milliseconds::rep, 3> MaxPauses{20, 100, 500};
    const auto maxPause = MaxPauses[static_cast<std::size_t>(randomUpTo(MaxPauses.size() - 1))];
    asio::steady_timer timer(m_context);
    while (steadyNow() < until) {
        co_await sendRandomCall();
        timer.expires_after(Milliseconds(1 + randomUpTo(maxPause)));
        SystemError error;
        co_await timer.async_wait(storeError(error));
    }
    m_connections.clear();
    m_hasEnded = true;
}

bool StopCaller::hasEnded() const
{
    return m_hasEnded;
}

std::int64_t StopCaller::randomUpTo(std::int64_t largest)
{
    return std::uniform_int_distribution<std::int64_t>(0, largest)(m_random);
}

Task<StopCaller::KeptConnection> StopCaller::connect(StopHost &host)
{
    const auto process = host.terminatedAt.size() - 1;
    KeptConnection kept{std::make_unique<HttpClientConnection>(m_context), process};
    const auto connected = co_await kept.connection->connect(host.host->listen(), ConnectTimeout);
    if (connected.has_error() || host.terminatedAt.size() - 1 != process) {
        kept.connection.reset();
    }
    co_return kept;
}

HttpRequest StopCaller::makeRandomRequest(const std::string &id, StopCall &call)
{
    const double choice = std::uniform_real_distribution<double>(0, 1)(m_random);
    const double magnitude = std::uniform_real_distribution<double>(0, std::log(MaxWorkMs / MinWorkMs))(m_random);
    const auto workMs = static_cast<Milliseconds::rep>(MinWorkMs * std::exp(magnitude));
    auto request = makeHttpRequest("POST", "/safe/ok", id);
    if (m_usesEngineGroups && choice < EngineStreamFraction) {
        request = makeEngineRequest(call);
    } else if (choice < 0.35) {
        const auto interval
            = std::min(workMs, MinEventIntervalMs + randomUpTo(MaxEventIntervalMs - MinEventIntervalMs));
        const auto events = workMs / interval;
        call.kind = CallKind::Stream;
        request.target("/draft/stream");
        request.set("X-Events", std::to_string(events));
        request.set("X-Event-Interval-Ms", std::to_string(interval));
        addPause(request);
    } else if (choice < 0.65 && !m_usesEngineGroups) {
        const bool mayRepeat = choice < 0.45;
        call.kind = mayRepeat ? CallKind::Idempotent : CallKind::NonIdempotent;
        request.target(mayRepeat ? "/safe/slow" : "/pay/slow");
        request.set("X-Delay-Ms", std::to_string(workMs));
    }
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < FillerFraction) {
        request.body().append(static_cast<std::size_t>(randomUpTo(MaxFillerBytes)), 'x');
        request.prepare_payload();
    }
    request.set("Host", "shop.example");
    request.set("Authorization", "Token k");
    request.set("Cardamomhill-Request-Id", id);
    return request;
}

HttpRequest StopCaller::makeEngineRequest(StopCall &call)
{
    const double magnitude = std::uniform_real_distribution<double>(0, std::log(MaxEngineEvents))(m_random);
    auto request = makeHttpRequest("POST", "/draft/stream");
    call.kind = CallKind::Stream;
    request.set("X-Events", std::to_string(static_cast<int>(std::exp(magnitude))));
    return request;
}

void StopCaller::useEngineGroups()
{
    m_usesEngineGroups = true;
}

void StopCaller::addPauses()
{
    m_pauseRandom = Random(m_random);
}

void StopCaller::addPause(HttpRequest &request)
{
    if (!m_pauseRandom || std::uniform_real_distribution<double>(0, 1)(*m_pauseRandom) >= PauseFraction) {
        return;
    }
    const auto pause = std::uniform_int_distribution<Milliseconds::rep>(MinPauseMs, MaxPauseMs)(*m_pauseRandom);
    request.set("X-Events", std::to_string(EventsOfPausedStream));
    request.set("X-Event-Interval-Ms", std::to_string(MinEventIntervalMs));
    request.set("X-Last-Interval-Ms", std::to_string(pause));
}

Task<> StopCaller::sendRandomCall()
{
    const auto chosen = std::next(m_hosts.begin(), randomUpTo(static_cast<std::int64_t>(m_hosts.size()) - 1));
    auto &host = *chosen->second;
    auto kept = std::move(m_connections[chosen->first]);
    const bool isNew = !kept.connection || !kept.connection->isOpenAndIdle();
    if (isNew) {
        kept.connection.reset();
        if (host.isInRotation) {
            kept = co_await connect(host);
        }
        if (!kept.connection) {
            co_return;
        }
    }
    const std::string id = m_name + "-" + std::to_string(++m_sentCount);
    auto &call = m_calls[id];
    call.host = chosen->first;
    call.process = kept.process;
    call.isOnNewConnection = isNew;
    const auto request = makeRandomRequest(id, call);
    m_ledger.sent(id, call.kind, call.host);
    call.sentAt = steadyNow();
    const auto body = co_await exchange(*kept.connection, request, id);
    call.endedAt = steadyNow();
    if (call.status != 0) {
        m_ledger.answered(id, call.status);
    }
    if (call.status == Ok) {
        checkBody(id, request, body);
    }
    if (kept.connection->isReusable()) {
        kept.connection->reset();
        m_connections[chosen->first] = std::move(kept);
    }
}

Task<std::string> StopCaller::exchange(HttpClientConnection &connection, HttpRequest request, const std::string &id)
{
    auto &call = m_calls[id];
    std::string body;
    const bool isEngineStream = m_usesEngineGroups && call.kind == CallKind::Stream;
    const auto timeout = isEngineStream ? EngineAnswerTimeout : AnswerTimeout;
    const auto deadline = steadyNow() + timeout;
    const auto started = co_await connection.start(std::move(request), timeout);
    call.hasTimedOut = started.has_error() && started.error().code == NetErrorCode::TimedOut;
    while (started.has_value() && !call.isComplete) {
        call.status = connection.status();
        const auto limit = isEngineStream ? std::min(MaxEventPause, timeLeft(deadline)) : timeLeft(deadline);
        const auto piece = co_await connection.readSome(limit);
        if (piece.has_error()) {
            const bool isSilent = piece.error().code == NetErrorCode::TimedOut;
            call.hasTimedOut = isSilent && steadyNow() >= deadline;
            call.wasLeftSilent = isSilent && !call.hasTimedOut;
            break;
        }
        call.isComplete = !piece.value();
        body += piece.value().value_or("");
    }
    co_return body;
}

void StopCaller::checkBody(const std::string &id, const HttpRequest &request, const std::string &body)
{
    const auto &call = m_calls[id];
    if (call.kind != CallKind::Stream) {
        const auto answer = nlohmann::json::parse(body, nullptr, false);
        if (call.isComplete && (!answer.is_object() || answer.value("body", "") != request.body())) {
            m_ledger.addViolation("whole answer", id + " got an unexpected answer: " + body.substr(0, 200));
        }
        return;
    }
    std::string expected;
    for (int number = 1; number <= std::stoi(std::string(request["X-Events"])); ++number) {
        const auto text = std::to_string(number);
        expected.append("id: ").append(text).append("\ndata: event-").append(text).append("\n\n");
    }
    if (call.isComplete ? body != expected : !expected.starts_with(body)) {
        m_ledger.addViolation("order", id + " got unexpected events: " + body);
    }
}

} // namespace Cardamomhill
