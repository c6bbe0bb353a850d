#include "gateway/attempt.h"

#include "gateway/backendconnectionpool.h"
#include "gateway/callcodec.h"
#include "gateway/gatewaythread.h"
#include "gateway/streamcontinuation.h"
#include "metrics/metricsregistry.h"
#include "net/address.h"
#include "net/hopbyhopheaders.h"
#include "net/httpclientconnection.h"
#include "net/steadynow.h"
#include "traffic/streamtimeouts.h"

#include <algorithm>
#include <charconv>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t ReadBufferBytes = 4096;
/// A host that is up accepts a connection in milliseconds.
constexpr Milliseconds ConnectTimeout{400};
/// Answers to earlier calls on the same connection that are skipped before the attempt is given up.
constexpr int MaxForeignAnswers = 2;
/// Non-stream answers up to this size are buffered until they are complete, so that the call can still be retried when
/// the connection breaks.
constexpr std::size_t MaxBufferedAnswerBytes = 256 * 1024;
/// A longer event, or this many bytes without an event, is treated as a broken answer.
constexpr std::size_t MaxEventBytes = 256 * 1024;
/// Memory is asked for once an event is larger.
constexpr std::size_t UncountedEventBytes = 16 * 1024;
/// An event is in memory twice for a moment, when it is separated from what follows it.
constexpr std::size_t EventMemoryFactor = 2;
constexpr Milliseconds RoomPollPeriod{20};
/// A call that is not a stream is sent to another server, if one can take it, when the first has not begun to answer
/// after the route's timeout divided by this.
constexpr int AttemptTimeoutDivisor = 2;

/// Events with which an answer has gone on after its beginning. A server may send one and crash.
constexpr std::size_t ProgressEvents = 2;

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned FirstServerError = 500;

/// Whether a status means that the call did not run.
bool impliesNotRun(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned Misdirected = 421;
    constexpr unsigned TooManyRequests = 429;
    constexpr unsigned Unavailable = 503;
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
}

/// Whether an event comes after another one of the same stream. True if the ids are not numbers.
bool isLaterEventId(const std::string &id, const std::string &last)
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

Attempt::Attempt(
    GatewayThread &thread, HttpExchange &exchange, CallState &state, BackendServerId server, AttemptRole role)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_state(state)
    , m_server(std::move(server))
    , m_role(role)
    , m_begunAt(steadyNow())
    , m_ticket(role == AttemptRole::Only ? state.turn.begin() : state.turn.beginBeside())
{
    m_thread.servers().coldServers().recordStarted(m_server, m_begunAt);
}

Attempt::~Attempt()
{
    m_thread.attempts().erase(this);
}

Task<AttemptEnd> Attempt::run()
{
    const auto end = co_await sendUnlessOver();
    if (m_state.isCallerGone) {
        co_return AttemptEnd::CallerGone;
    }
    const bool isSuperseded = m_role == AttemptRole::Continuation && m_state.turn.isOver(m_ticket);
    co_return isSuperseded ? AttemptEnd::Superseded : end;
}

Task<AttemptEnd> Attempt::sendUnlessOver()
{
    const bool connected = co_await connect();
    if (m_state.isCallerGone) {
        co_return AttemptEnd::CallerGone;
    }
    if (connected && !m_cancelCause.empty()) {
        m_cause = m_cancelCause;
        co_return AttemptEnd::NotSent;
    }
    if (!connected) {
        co_return AttemptEnd::NotSent;
    }
    if (m_thread.promptGuard().blockedPartOf(m_state.head)) {
        m_cause = "a part of the prompt is blocked";
        co_return AttemptEnd::Withdrawn;
    }
    if (!m_thread.servers().maySend(m_process, steadyNow())) {
        m_cause = "the server takes no calls now";
        co_return AttemptEnd::Withdrawn;
    }
    if (isEvacuated()) {
        m_cause = "the server's failure domain is evacuated";
        m_thread.metrics().counter("attempts_withdrawn_evacuated_total").add();
        co_return AttemptEnd::Withdrawn;
    }
    if (!m_thread.servers().coldServers().recordSent(m_server, m_begunAt, steadyNow())) {
        m_cause = "the server is cold and may get no call now";
        co_return AttemptEnd::Withdrawn;
    }
    m_lastArrival = steadyNow();
    m_thread.attempts().insert(this);
    const auto end = co_await sendRequest();
    const bool isBrokenByServer = end == AttemptEnd::Broken && m_cancelCause.empty() && !m_state.isCallerGone;
    if (isBrokenByServer && !hasGoneOn()) {
        auto &guard = m_thread.promptGuard();
        m_state.isPromptSuspected = guard.isSuspected(m_state.head);
        guard.recordBreak(m_process, m_state.head);
    }
    co_return end;
}

bool Attempt::isEvacuated() const
{
    // While the attempt connected, the registration may have moved to another domain or another process taken the id.
    const auto &servers = m_thread.servers();
    return servers.isEvacuated(m_server) || servers.evacuated().contains(m_failureDomain);
}

void Attempt::cancel(std::string_view cause)
{
    m_cancelCause = cause;
    if (m_connection) {
        m_connection->cancel();
    }
}

void Attempt::moveElsewhere(std::string_view cause)
{
    if (isGivenUp()) {
        return;
    }
    if (m_state.hasAnswerBegun) {
        m_state.continuation->begin(*this, cause);
    } else {
        cancelForOtherServer(cause);
    }
}

bool Attempt::isGivenUp() const
{
    return m_state.isCallerGone || !m_cancelCause.empty();
}

void Attempt::cancelForOtherServer(std::string_view cause)
{
    const auto choice = m_thread.servers().choose(m_state.query, steadyNow(), m_thread.random());
    if (choice.hasServer() && cancelForRetry(cause)) {
        m_state.reservedServer = choice.server;
        m_thread.servers().recordCallStarted(choice.server);
    }
}

bool Attempt::cancelForRetry(std::string_view cause)
{
    if (isGivenUp()) {
        return false;
    }
    // Charged here, since several attempts that are cancelled at the same time would all see the last retry.
    if (m_state.attempts.allowsRetryAfter(AttemptEnd::Broken, *m_state.route, remainingTime())
        && m_thread.retryBudget(m_state.query.service).tryTakeRetry(steadyNow())) {
        m_state.isRetryReserved = true;
        cancel(cause);
        return true;
    }
    return false;
}

void Attempt::cancelIfBlocked()
{
    if (!hasGoneOn() && m_thread.promptGuard().blockedPartOf(m_state.head)) {
        cancel("a part of the prompt is blocked");
    }
}

bool Attempt::hasEvents() const
{
    return m_eventCount > 0;
}

bool Attempt::hasGoneOn() const
{
    return m_eventCount >= ProgressEvents;
}

void Attempt::recordProgress()
{
    ++m_eventCount;
    auto &guard = m_thread.promptGuard();
    if (m_eventCount == ProgressEvents || (hasGoneOn() && guard.hasSuspects())) {
        guard.recordSound(m_state.head);
    }
}

const BackendServerId &Attempt::server() const
{
    return m_server;
}

SteadyTime Attempt::begunAt() const
{
    return m_begunAt;
}

bool Attempt::isCancelled() const
{
    return !m_cancelCause.empty();
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
        m_cause = "the server has no usable address";
        co_return false;
    }
    m_process = processOf(*server);
    m_failureDomain = server->failureDomain;
    // The server may close an idle connection while the call is sent. The call may then have run, so only repeatable
    // calls use one.
    // An answer to an earlier call could not be told from the answer to a call without an id.
    if (m_state.route->isRepeatable() && !m_state.head.id.empty()) {
        m_connection = m_thread.connectionPool().acquire(m_server, steadyNow());
    }
    if (m_connection) {
        m_isReused = true;
        co_return true;
    }
    m_connection = std::make_unique<HttpClientConnection>(m_thread.context(), ReadBufferBytes);
    m_connection->setReceiveQueueBytes(m_thread.receiveQueueBytes());
    const auto begunAt = steadyNow();
    const auto connected = co_await m_connection->connect(*endpoint, std::min(ConnectTimeout, remainingTime()));
    const bool isConnected = connected.has_value();
    if (!isConnected) {
        m_cause = connected.error().message();
    }
    if (isConnected) {
        m_thread.recordConnectTime(m_failureDomain, std::chrono::duration_cast<Microseconds>(steadyNow() - begunAt));
    }
    // A refused connection shows that the host is reachable.
    if (!m_state.isCallerGone) {
        m_thread.recordConnectResult(m_failureDomain,
                                     isConnected || connected.error().code == NetErrorCode::ConnectRefused);
    }
    co_return isConnected;
}

Task<AttemptEnd> Attempt::sendRequest()
{
    HttpRequest request(m_state.requestHead);
    ForwardedCall call;
    call.server = m_server;
    call.organisation = m_state.organisation;
    call.remainingTime = remainingTime();
    call.lastEventId = m_state.lastEventId;
    if (m_state.query.admission && m_state.query.admission->group) {
        call.priority = m_state.query.admission->group->rank();
    }
    m_thread.codec().prepareForServer(request, call);
    m_sentAt = steadyNow();
    m_callsWhenSent = m_thread.servers().callsAt(m_server, m_sentAt);
    auto started = co_await m_connection->start(std::move(request.base()), m_state.body, remainingTime());
    started = co_await skipForeignAnswers(std::move(started));
    if (started.has_error()) {
        co_return endFromError(started.error());
    }
    // A repeated answer to an earlier call states a time that began with the first copy.
    m_thread.recordHold(m_process, m_answer);
    m_thread.recordColdRemaining(m_server, m_answer);
    recordArrival();
    m_hasHead = true;
    if (m_answer.load) {
        m_thread.servers().updateStatedLoad(m_server, *m_answer.load, steadyNow());
    }
    co_return co_await relayAnswer();
}

Task<Result<void, NetError>> Attempt::skipForeignAnswers(Result<void, NetError> started)
{
    for (int skipped = 0; started.has_value(); ++skipped) {
        m_answer = m_thread.codec().parseAnswer(m_connection->head());
        // An answer to another call comes from the same server too.
        m_thread.recordLeaving(m_process, m_answer);
        if (m_answer.callId == m_state.head.id) {
            break;
        }
        if (m_answer.callId.empty()) {
            // On a reused connection the answer may belong to an earlier call.
            if (m_isReused || m_answer.isSuccess()) {
                started = failure(NetError{NetErrorCode::MalformedMessage, "answer without a call id"});
            }
            break;
        }
        m_thread.metrics().counter("foreign_answers_total").add();
        if (skipped == MaxForeignAnswers) {
            started = failure(NetError{NetErrorCode::MalformedMessage, "too many answers to other calls"});
        } else {
            started = co_await m_connection->discardAnswer(remainingTime());
        }
    }
    co_return started;
}

Task<AttemptEnd> Attempt::relayAnswer()
{
    if (m_answer.isOtherInstance) {
        m_cause = "another server instance has the address";
        co_return AttemptEnd::OtherInstance;
    }
    if (m_answer.isNotRun && m_answer.status != StatusBadRequest) {
        m_cause = "refused with status " + std::to_string(m_answer.status);
        co_return AttemptEnd::NotRun;
    }
    if (m_answer.isSuccess() && !m_answer.isSigned) {
        co_return endAsBroken("answer without a signature");
    }
    if (m_answer.hasContentEncoding) {
        co_return endAsBroken("answer with a content encoding");
    }
    if (!m_answer.isNotRun && impliesNotRun(m_answer.status)) {
        co_return endAsBroken("status " + std::to_string(m_answer.status)
                              + " without a statement that the call did not run");
    }
    if (m_state.hasAnswerBegun && m_answer.isSuccess() && m_answer.mediaType != m_state.mediaType) {
        co_return endAsBroken("an answer of another type to a resumed stream");
    }
    if (m_answer.isSuccess() && m_state.route->kind == CallKind::Stream) {
        co_return co_await relayEvents();
    }
    if (m_state.hasAnswerBegun) {
        co_return endAsBroken("status " + std::to_string(m_answer.status) + " to a resumed stream");
    }
    co_return co_await relayBufferedAnswer();
}

Task<AttemptEnd> Attempt::relayBufferedAnswer()
{
    std::string body;
    while (true) {
        auto piece = co_await m_connection->readSome(m_state.remainingTime(steadyNow()));
        if (piece.has_error()) {
            co_return endFromError(piece.error());
        }
        if (!piece.value()) {
            break;
        }
        body += *piece.value();
        // Without memory for the whole answer it is sent as it arrives, like one that is too large.
        if (!m_state.hasAnswerBegun && body.size() <= MaxBufferedAnswerBytes && m_exchange.tryHold(body.size())) {
            continue;
        }
        const bool begun = co_await beginAnswer();
        if (!begun) {
            co_return AttemptEnd::CallerGone;
        }
        const bool sent = co_await m_exchange.sendChunk(body);
        if (!sent) {
            co_return AttemptEnd::CallerGone;
        }
        // Frees the buffer too.
        std::string().swap(body);
        m_exchange.releaseHeld();
    }
    if (m_state.hasAnswerBegun) {
        co_return co_await endAnswer();
    }
    recordAnswered();
    auto headers = answerHeaders();
    releaseConnection();
    if (m_answer.isSuccess()) {
        m_thread.promptGuard().recordSound(m_state.head);
    }
    if (m_answer.status >= FirstServerError) {
        m_state.fallbackAnswer = FallbackAnswer{m_answer.status, std::move(headers), std::move(body)};
        m_cause = "status " + std::to_string(m_answer.status);
        co_return AttemptEnd::ServerError;
    }
    m_state.hasAnswerBegun = true;
    m_state.firstByteAt = steadyNow();
    const bool sent = co_await m_exchange.sendAnswer(m_answer.status, "", std::move(body), std::move(headers));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
}

Task<AttemptEnd> Attempt::relayEvents()
{
    auto &outage = m_thread.serviceOutage(m_state.query.service);
    while (true) {
        auto piece = co_await m_connection->readSome(m_state.remainingTime(steadyNow()));
        if (piece.has_error()) {
            co_return endFromError(piece.error());
        }
        if (!piece.value()) {
            co_return co_await endAnswer();
        }
        m_eventSplitter.append(*piece.value());
        while (auto event = m_eventSplitter.next()) {
            recordArrival();
            outage.recordProgress(m_lastArrival);
            recordProgress();
            if (!event->id.empty() && !m_state.lastEventId.empty() && !isLaterEventId(event->id, m_state.lastEventId)) {
                continue;
            }
            if (!claimDelivery()) {
                co_return endAsBroken("the stream goes on at another server");
            }
            const bool sent = co_await deliverEvent(event->bytes);
            if (!sent) {
                co_return AttemptEnd::CallerGone;
            }
            if (!event->id.empty()) {
                m_state.lastEventId = event->id;
            }
            m_state.canResumeAfterLastEvent
                = !event->id.empty() || (m_state.canResumeAfterLastEvent && !event->hasData);
            recordEvent();
        }
        if (m_eventSplitter.pendingBytes() > MaxEventBytes) {
            co_return endAsBroken("event exceeds the size limit");
        }
        const bool hasRoom = co_await waitForRoom();
        if (!hasRoom) {
            co_return endFromError({NetErrorCode::TimedOut, "no memory for the event"});
        }
    }
}

Task<bool> Attempt::waitForRoom()
{
    if (m_eventSplitter.pendingBytes() <= UncountedEventBytes) {
        m_exchange.releaseHeld();
        co_return true;
    }
    asio::steady_timer timer(m_thread.context());
    // All at once, since streams that each hold a part could wait for each other.
    while (!m_exchange.tryHoldInsteadOfStalled(EventMemoryFactor * MaxEventBytes)) {
        if (isGivenUp() || m_state.remainingTime(steadyNow()) <= RoomPollPeriod) {
            co_return false;
        }
        timer.expires_after(RoomPollPeriod);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }
    co_return true;
}

bool Attempt::claimDelivery()
{
    switch (m_state.turn.claim(m_ticket)) {
    case DeliveryClaim::Granted:
        m_state.continuation->cancel("the stream has gone on");
        return true;
    case DeliveryClaim::TakenOver:
        m_state.continuation->takeOver();
        return true;
    case DeliveryClaim::Refused:
        return false;
    }
    return false;
}

void Attempt::recordEvent()
{
    const auto now = steadyNow();
    if (m_state.eventCount > 0) {
        const auto pause = std::chrono::duration_cast<Microseconds>(now - m_state.lastEventAt);
        m_state.longestEventPause = std::max(m_state.longestEventPause, pause);
        m_thread.eventPauses().record(pause);
    }
    m_state.lastEventAt = now;
    ++m_state.eventCount;
}

Task<AttemptEnd> Attempt::endAnswer()
{
    const bool isStream = m_state.route->kind == CallKind::Stream;
    if (isStream && m_eventCount == 0 && m_connection->endsWithConnection()) {
        // A server that crashes closes its connections in the same way.
        co_return endAsBroken("stream without events ended with its connection");
    }
    if (m_eventSplitter.pendingBytes() > 0) {
        co_return endAsBroken("stream ended in the middle of an event");
    }
    if (!claimDelivery()) {
        co_return endAsBroken("the stream goes on at another server");
    }
    const bool begun = co_await beginAnswer();
    if (!begun) {
        co_return AttemptEnd::CallerGone;
    }
    const bool ended = co_await m_exchange.endChunkedAnswer();
    if (!hasGoneOn()) {
        m_thread.promptGuard().recordSound(m_state.head);
    }
    releaseConnection();
    co_return ended ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
}

Task<bool> Attempt::deliverEvent(std::string_view bytes)
{
    const bool begun = co_await beginAnswer();
    if (!begun) {
        co_return false;
    }
    co_return co_await m_exchange.sendChunk(bytes);
}

Task<bool> Attempt::beginAnswer()
{
    if (m_state.hasAnswerBegun) {
        co_return true;
    }
    m_state.hasAnswerBegun = true;
    m_state.mediaType = m_answer.mediaType;
    m_state.firstByteAt = steadyNow();
    co_return co_await m_exchange.beginChunkedAnswer(m_answer.status, "", answerHeaders());
}

AttemptEnd Attempt::endFromError(const NetError &error)
{
    m_cause = m_cancelCause.empty() ? error.message() : m_cancelCause;
    return error.code == NetErrorCode::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

AttemptEnd Attempt::endAsBroken(std::string_view cause)
{
    m_cause = cause;
    return AttemptEnd::Broken;
}

HttpHeaders Attempt::answerHeaders() const
{
    boost::beast::http::fields fields = m_connection->head();
    removeHopByHopHeaders(fields);
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

Milliseconds Attempt::remainingTime() const
{
    return std::max(m_state.remainingTime(steadyNow()), Milliseconds(1));
}

void Attempt::recordArrival()
{
    m_lastArrival = steadyNow();
    m_thread.recordArrival(m_server, m_lastArrival);
}

void Attempt::checkProgress(SteadyTime now)
{
    if (m_state.route->kind != CallKind::Stream) {
        if (!m_hasHead && now - m_lastArrival > m_state.route->timeout / AttemptTimeoutDivisor) {
            moveElsewhere("no answer for half of the time");
        }
        return;
    }
    const auto streamSilence = now - m_lastArrival;
    if (!m_thread.servers().isAvailable(m_server)) {
        constexpr std::string_view Cause = "the server or its group cannot be reached";
        if (m_state.hasAnswerBegun) {
            moveElsewhere(Cause);
        } else {
            cancelForRetry(Cause);
        }
        return;
    }
    // Any rank of a group shows that the group makes progress. Without a group only the server itself does, and a call
    // may wait in its queue, so the limit is longer.
    const auto *server = m_thread.servers().server(m_server);
    const bool hasGroup = server != nullptr && server->groupMembership.has_value();
    const auto timeouts = streamTimeoutsFor(*m_state.route);
    const auto sourceSilence = now - std::max(m_thread.servers().lastReceivedAt(m_server), m_state.startedAt);
    const auto silence = std::min<SteadyTime::duration>(streamSilence, sourceSilence);
    if (silence > timeouts.stalledGroupTimeout && silence > silenceLimit(timeouts, hasGroup)) {
        moveElsewhere(hasGroup ? "the group makes no steps" : "the server is unresponsive");
    } else if (streamSilence > timeouts.stalledStreamTimeout && m_state.eventCount > 0) {
        moveElsewhere("the stream is silent");
    }
}

Milliseconds Attempt::silenceLimit(const StreamTimeouts &timeouts, bool hasGroup) const
{
    if (!hasGroup) {
        return timeouts.stalledStreamTimeout;
    }
    // A call that waits in a queue hears nothing, however quickly the group makes steps.
    const bool hasWitness = hasEvents() || m_thread.hasBegunStreamAt(m_server);
    return hasWitness ? timeouts.stalledGroupTimeout : timeouts.queueTimeout;
}

void Attempt::recordAnswered()
{
    // Errors are often quick, and a server that fails must not look fast.
    if (m_answer.isSuccess()) {
        const auto now = steadyNow();
        const auto elapsed = std::chrono::duration_cast<Microseconds>(now - m_sentAt);
        m_thread.servers().recordAnswered(m_process, elapsed, m_callsWhenSent, now);
    }
}

void Attempt::releaseConnection()
{
    if (m_connection->isReusable() && m_thread.mayReuseConnection(m_process)) {
        m_thread.connectionPool().release(m_server, std::move(m_connection), m_answer.keepAlive, steadyNow());
    }
}

} // namespace Cardamomhill
