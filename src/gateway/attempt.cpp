#include "gateway/attempt.h"

#include "gateway/calldialect.h"
#include "gateway/gatewaythread.h"
#include "gateway/upstreampool.h"
#include "metrics/metricsregistry.h"
#include "net/address.h"
#include "net/endtoendheaders.h"
#include "net/httpcall.h"
#include "net/steadynow.h"
#include "traffic/streampatience.h"

#include <algorithm>
#include <charconv>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t ReadBytes = 4096;
/// A host that is up accepts in milliseconds.
constexpr Milliseconds ConnectTimeout{400};
/// Answers that servers gave to earlier calls on the same connection.
constexpr int MostForeignAnswers = 2;
/// Whole answers up to this size are held until they are complete, so that a broken one can be repeated.
constexpr std::size_t HeldBytes = 256 * 1024;
/// An event that is longer than this, or a head that is not followed by events, is no stream.
constexpr std::size_t MostEventBytes = 256 * 1024;
/// Part of the time limit of an idempotent call that its first attempt may use.
constexpr int AttemptPart = 2;

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned FirstServerError = 500;

/// Statuses that promise that the call did not run.
bool isPromise(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned Misdirected = 421;
    constexpr unsigned TooManyRequests = 429;
    constexpr unsigned Unavailable = 503;
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
}

/// Whether an event comes after another one in the same stream.
bool isAfter(const std::string &id, const std::string &last)
{
    std::uint64_t number = 0;
    std::uint64_t lastNumber = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    const auto [lastEnd, lastError] = std::from_chars(last.data(), last.data() + last.size(), lastNumber);
    if (error != std::errc() || lastError != std::errc()) {
        return true;
    }
    return number > lastNumber;
}

} // namespace

Attempt::Attempt(GatewayThread &thread, HttpExchange &exchange, CallState &state, BackendServerId server)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_state(state)
    , m_server(std::move(server))
{
}

Attempt::~Attempt()
{
    m_thread.attempts().erase(this);
}

Task<AttemptEnd> Attempt::run()
{
    const bool connected = co_await connect();
    if (m_state.isCallerGone) {
        co_return AttemptEnd::CallerGone;
    }
    if (!connected) {
        co_return AttemptEnd::NotSent;
    }
    m_lastArrival = steadyNow();
    m_thread.attempts().insert(this);
    const auto end = co_await send();
    co_return m_state.isCallerGone ? AttemptEnd::CallerGone : end;
}

void Attempt::cancel()
{
    if (m_call) {
        m_call->cancel();
    }
}

void Attempt::moveAway(std::string_view cause)
{
    const bool mayGoOn = m_state.attempts.mayAttemptAfter(AttemptEnd::Broken, *m_state.route, left())
        && m_thread.budget(m_state.service).hasRetry();
    if (!m_state.isCallerGone && m_call && mayGoOn) {
        m_breakCause = cause;
        m_call->cancel();
    }
}

const BackendServerId &Attempt::server() const
{
    return m_server;
}

const std::string &Attempt::cause() const
{
    return m_cause;
}

Task<bool> Attempt::connect()
{
    const auto *server = m_thread.servers().server(m_server);
    const auto endpoint = server == nullptr ? std::nullopt : parseAddress(server->address);
    if (!endpoint) {
        m_cause = "no address";
        co_return false;
    }
    // A kept connection may have ended unseen; what was sent on it may have run.
    if (m_state.route->isRepeatable()) {
        m_call = m_thread.pool().take(m_server, steadyNow());
    }
    if (m_call) {
        m_isReused = true;
        co_return true;
    }
    const auto domain = server->failureDomain;
    m_call = std::make_unique<HttpCall>(m_thread.context(), ReadBytes);
    const auto connected = co_await m_call->connect(*endpoint, std::min(ConnectTimeout, left()));
    const bool isMade = connected.has_value();
    if (!isMade) {
        m_cause = connected.error().message();
    }
    // A refusal shows that the host was reached.
    if (!m_state.isCallerGone) {
        m_thread.connected(domain, isMade || connected.error().code == NetErrorCode::ConnectRefused);
    }
    co_return isMade;
}

Task<AttemptEnd> Attempt::send()
{
    auto request = m_state.request;
    ServerCall call;
    call.server = m_server;
    call.organisation = m_state.organisation;
    call.remaining = left();
    call.lastEventId = m_state.lastEventId;
    m_thread.dialect().prepareForServer(request, call);
    auto started = co_await m_call->start(std::move(request), answerLimit());
    started = co_await skipForeignAnswers(std::move(started));
    if (started.has_error()) {
        co_return classify(started.error());
    }
    arrived();
    if (m_answer.load) {
        m_thread.servers().takeLoad(m_server, *m_answer.load, steadyNow());
    }
    co_return co_await relay();
}

Task<Result<void, NetError>> Attempt::skipForeignAnswers(Result<void, NetError> started)
{
    for (int skipped = 0; started.has_value(); ++skipped) {
        m_answer = m_thread.dialect().readAnswer(m_call->head());
        if (m_answer.callId == m_state.head.id) {
            break;
        }
        if (m_answer.callId.empty()) {
            // On a connection that was in use before, it may belong to an earlier call.
            if (m_isReused || m_answer.isSuccess()) {
                started = failure(NetError{NetErrorCode::MalformedMessage, "answer that names no call"});
            }
            break;
        }
        m_thread.metrics().counter("foreign_answers_total").add();
        if (skipped == MostForeignAnswers) {
            started = failure(NetError{NetErrorCode::MalformedMessage, "answers of other calls"});
        } else {
            started = co_await m_call->skipAnswer(left());
        }
    }
    co_return started;
}

Task<AttemptEnd> Attempt::relay()
{
    if (m_answer.isOtherInstance) {
        m_cause = "another instance has the address";
        co_return AttemptEnd::OtherInstance;
    }
    if (m_answer.isNotRun && m_answer.status != StatusBadRequest) {
        m_cause = "refused with status " + std::to_string(m_answer.status);
        co_return AttemptEnd::NotRun;
    }
    if (m_answer.isSuccess() && !m_answer.isSigned) {
        co_return fail("answer without signature");
    }
    if (m_answer.isEncoded) {
        co_return fail("encoded answer");
    }
    if (!m_answer.isNotRun && isPromise(m_answer.status)) {
        co_return fail("status " + std::to_string(m_answer.status) + " without a statement that it did not run");
    }
    if (m_answer.isSuccess() && m_state.route->kind == CallKind::Stream) {
        co_return co_await relayEvents();
    }
    if (m_state.hasBegun) {
        co_return fail("status " + std::to_string(m_answer.status) + " to a resumed stream");
    }
    co_return co_await relayWhole();
}

Task<AttemptEnd> Attempt::relayWhole()
{
    std::string body;
    while (true) {
        auto piece = co_await m_call->readSome(m_state.left(steadyNow()));
        if (piece.has_error()) {
            co_return classify(piece.error());
        }
        if (!piece.value()) {
            break;
        }
        body += *piece.value();
        if (!m_state.hasBegun && body.size() <= HeldBytes) {
            continue;
        }
        const bool begun = co_await begin();
        if (!begun) {
            co_return AttemptEnd::CallerGone;
        }
        const bool sent = co_await m_exchange.sendChunk(body);
        if (!sent) {
            co_return AttemptEnd::CallerGone;
        }
        body.clear();
    }
    if (m_state.hasBegun) {
        co_return co_await endEvents();
    }
    auto headers = answerHeaders();
    keepConnection();
    if (m_answer.status >= FirstServerError) {
        m_state.held = HeldAnswer{m_answer.status, std::move(headers), std::move(body)};
        m_cause = "status " + std::to_string(m_answer.status);
        co_return AttemptEnd::ServerError;
    }
    m_state.hasBegun = true;
    m_state.firstByteAt = steadyNow();
    const bool sent = co_await m_exchange.sendWhole(m_answer.status, "", std::move(body), std::move(headers));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
}

Task<AttemptEnd> Attempt::relayEvents()
{
    while (true) {
        auto piece = co_await m_call->readSome(m_state.left(steadyNow()));
        if (piece.has_error()) {
            co_return classify(piece.error());
        }
        if (!piece.value()) {
            co_return co_await endEvents();
        }
        m_events.append(*piece.value());
        while (auto event = m_events.next()) {
            arrived();
            if (!event->id.empty() && !m_state.lastEventId.empty() && !isAfter(event->id, m_state.lastEventId)) {
                continue;
            }
            const bool sent = co_await sendEvent(event->bytes);
            if (!sent) {
                co_return AttemptEnd::CallerGone;
            }
            if (!event->id.empty()) {
                m_state.lastEventId = event->id;
            }
            countEvent();
        }
        if (m_events.pendingBytes() > MostEventBytes) {
            co_return fail("event without end");
        }
    }
}

void Attempt::countEvent()
{
    const auto now = steadyNow();
    if (m_state.events > 0) {
        const auto pause = std::chrono::duration_cast<Microseconds>(now - m_state.lastEventAt);
        m_state.longestPause = std::max(m_state.longestPause, pause);
        m_thread.eventPauses().record(pause);
    }
    m_state.lastEventAt = now;
    ++m_state.events;
}

Task<AttemptEnd> Attempt::endEvents()
{
    if (m_events.pendingBytes() > 0) {
        co_return fail("stream ended within an event");
    }
    const bool begun = co_await begin();
    if (!begun) {
        co_return AttemptEnd::CallerGone;
    }
    const bool ended = co_await m_exchange.endChunks();
    keepConnection();
    co_return ended ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
}

Task<bool> Attempt::sendEvent(std::string_view bytes)
{
    const bool begun = co_await begin();
    if (!begun) {
        co_return false;
    }
    co_return co_await m_exchange.sendChunk(bytes);
}

Task<bool> Attempt::begin()
{
    if (m_state.hasBegun) {
        co_return true;
    }
    m_state.hasBegun = true;
    m_state.firstByteAt = steadyNow();
    co_return co_await m_exchange.beginChunks(m_answer.status, "", answerHeaders());
}

AttemptEnd Attempt::classify(const NetError &error)
{
    m_cause = m_breakCause.empty() ? error.message() : m_breakCause;
    return error.code == NetErrorCode::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

AttemptEnd Attempt::fail(std::string_view cause)
{
    m_cause = cause;
    return AttemptEnd::Broken;
}

HttpHeaders Attempt::answerHeaders() const
{
    boost::beast::http::fields fields = m_call->head();
    removeConnectionHeaders(fields);
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

Milliseconds Attempt::left() const
{
    return std::max(m_state.left(steadyNow()), Milliseconds(1));
}

Milliseconds Attempt::answerLimit() const
{
    if (m_state.route->kind == CallKind::Stream) {
        return left();
    }
    const auto part = m_state.route->timeout / AttemptPart;
    const bool mayRepeat = m_state.attempts.mayAttemptAfter(AttemptEnd::TimedOut, *m_state.route, left() - part);
    return mayRepeat ? std::min(part, left()) : left();
}

void Attempt::arrived()
{
    m_lastArrival = steadyNow();
    m_thread.arrivedFrom(m_server, m_lastArrival);
}

void Attempt::check(SteadyTime now)
{
    if (m_state.route->kind != CallKind::Stream) {
        return;
    }
    const auto silence = now - m_lastArrival;
    if (!m_thread.servers().isUsable(m_server)) {
        moveAway("the server or its group cannot be reached");
        return;
    }
    // A server without a group speaks only for itself, and a call may wait in its queue.
    const auto *server = m_thread.servers().server(m_server);
    const bool hasGroup = server != nullptr && server->seat.has_value();
    const auto patience = patienceWith(*m_state.route);
    const auto stallLimit = hasGroup ? patience.stalledGroup : patience.silentStream;
    const auto groupSilence = now - std::max(m_thread.servers().lastSignOfLife(m_server), m_state.startedAt);
    if (silence > stallLimit && groupSilence > stallLimit) {
        moveAway(hasGroup ? "the group makes no steps" : "the server is silent");
    } else if (silence > patience.silentStream && m_state.events > 0) {
        moveAway("the stream is silent");
    }
}

void Attempt::keepConnection()
{
    if (m_call->isReusable()) {
        m_thread.pool().give(m_server, std::move(m_call), m_answer.keepAlive, steadyNow());
    }
}

} // namespace Cardamomhill
