#include "gateway/callhandler.h"

#include "gateway/attempt.h"
#include "gateway/attemptrecord.h"
#include "gateway/callcodec.h"
#include "gateway/callerroute.h"
#include "gateway/gatewaythread.h"
#include "gateway/serverselection.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"
#include "routing/retrybudget.h"

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// A process that has just started learns the evacuations within a few hundred milliseconds.
constexpr Milliseconds StartRetryAfter{500};
/// Time in which full servers work through their backlog.
constexpr Milliseconds FullRetryAfter{1000};
/// The same for the most urgent calls where urgency differs; others return after as many times as long, so that the
/// most urgent return first.
constexpr Milliseconds RankedRetryAfter{500};
/// Time in which other servers become known.
constexpr Milliseconds NoServerRetryAfter{1000};
/// A group that lost a rank abandons its steps after one or two seconds and is then formed again.
constexpr Milliseconds GroupRetryAfter{2000};
/// The other hosts can take the calls of one that stops at once.
constexpr Milliseconds StoppingRetryAfter{0};
/// Largest random fraction by which Retry-After is lengthened, so that callers refused at the same time do not retry at
/// the same time.
constexpr double RetryAfterJitter = 1.0;

Milliseconds retryAfterOf(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::AllFull:
    case ChoiceReason::AllCold:
        return FullRetryAfter;
    case ChoiceReason::GroupsClosed:
        return GroupRetryAfter;
    default:
        return NoServerRetryAfter;
    }
}

/// Chooses the service of a call at random by the weights of its route.
ServiceId chooseService(const Route &route, Random &random)
{
    std::vector<double> weights;
    weights.reserve(route.services.size());
    for (const auto &service : route.services) {
        weights.push_back(service.weight);
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return route.services.empty() ? ServiceId() : route.services[distribution(random)].service;
}

std::string textOf(std::optional<Milliseconds> time)
{
    return time ? std::to_string(time->count()) : std::string();
}

} // namespace

CallHandler::CallHandler(GatewayThread &thread, HttpExchange &exchange)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_continuation(thread, exchange, m_state)
{
    m_state.startedAt = steadyNow();
    m_state.continuation = &m_continuation;
}

CallHandler::~CallHandler()
{
    m_thread.callEnded(*this);
}

Task<> CallHandler::run()
{
    auto problem = resolveCall();
    if (!problem && m_exchange.isBodySkipped()) {
        problem
            = Problem{ProblemKind::NotReady, StatusUnavailable, "not-sent", "the body was not read", FullRetryAfter};
    }
    if (problem) {
        co_await refuse(std::move(*problem));
        co_return;
    }
    m_thread.callStarted(*this);
    recordArrivalWhileDraining();
    m_exchange.watchDisconnect([this] {
        m_state.isCallerGone = true;
        cancelAttempts("the caller has disconnected");
    });
    co_await sendToServers();
    m_exchange.stopWatching();
}

void CallHandler::endEarly()
{
    if (m_state.isEndedEarly) {
        return;
    }
    const auto now = steadyNow();
    m_state.isEndedEarly = true;
    m_state.deadline = std::min(m_state.deadline, now);
    const auto age = std::chrono::duration_cast<Milliseconds>(now - m_state.startedAt);
    const auto silence = m_state.silence(now);
    m_thread.metrics().counter("calls_ended_early_total").add();
    m_thread.stopSummary().recordEndedEarly(m_state.eventCount, age, silence);
    logEvent(LogLevel::Warning,
             "ended-early",
             {{"request", m_state.head.id},
              {"attempts", m_state.attempts.count() + (m_currentAttempt == nullptr ? 0 : 1)},
              {"server", m_currentAttempt == nullptr ? std::string() : m_currentAttempt->server().value()},
              {"events", m_state.eventCount},
              {"silence_ms", silence.count()},
              {"elapsed_ms", age.count()},
              {"admitted", nameOf(m_state.admission.verdict)},
              {"admitted_limit_ms", m_state.admission.limit.count()},
              {"admitted_draining_ms", textOf(m_state.admission.drainingTime)},
              {"admitted_expected_ms", textOf(m_state.admission.expected)}});
    cancelAttempts("the host is stopping");
}

const Route &CallHandler::route() const
{
    return *m_state.route;
}

SteadyTime CallHandler::startedAt() const
{
    return m_state.startedAt;
}

void CallHandler::cancelAttempts(std::string_view cause)
{
    if (m_currentAttempt != nullptr) {
        m_currentAttempt->cancel(cause);
    }
    m_continuation.cancel(cause);
}

std::optional<Problem> CallHandler::resolveCall()
{
    m_state.configuration = m_thread.configuration();
    auto head = m_thread.codec().parseCall(m_exchange.request());
    if (head.has_error()) {
        return Problem{ProblemKind::NotFound, StatusBadRequest, "not-sent", head.error().message(), {}};
    }
    m_state.head = std::move(head.value());
    if (!m_thread.knowsEvacuations()) {
        return Problem{
            ProblemKind::NotReady, StatusUnavailable, "not-sent", "no evacuations are known yet", StartRetryAfter};
    }
    auto route = findCallerRoute(m_state.configuration.get(), m_thread.servers().hasServers(), m_state.head);
    if (route.has_error()) {
        return std::move(route.error());
    }
    m_state.route = route.value().route;
    m_state.organisation = route.value().organisation;
    m_state.query.service = chooseService(*m_state.route, m_thread.random());
    m_state.urgency = m_state.configuration->urgency(m_state.query.service, *m_state.route, route.value().owner);
    m_state.lastEventId = m_state.head.lastEventId;
    auto request = m_exchange.takeRequest();
    m_state.body = std::move(request.body());
    m_state.requestHead = std::move(request.base());
    auto limit = m_state.route->timeout;
    if (m_state.head.remainingTime) {
        limit = std::min(limit, *m_state.head.remainingTime);
    }
    m_state.deadline = m_state.startedAt + limit;
    if (auto problem = blockedProblem()) {
        return problem;
    }
    m_state.admission = m_thread.admitCall(*m_state.route, limit);
    if (!m_state.admission.isAdmitted()) {
        ++m_thread.stopSummary().refused;
        return Problem{
            ProblemKind::NotReady, StatusUnavailable, "not-sent", "the host is stopping", StoppingRetryAfter};
    }
    return std::nullopt;
}

Task<> CallHandler::sendToServers()
{
    m_thread.retryBudget(m_state.query.service).recordFirstAttempt(steadyNow());
    m_state.query.admission = streamAdmission();
    m_state.query.promptReuse = promptReuse();
    if (m_state.isReturning() && m_thread.serviceOutage(m_state.query.service).isEnabled()) {
        m_state.query.arrivedAt = m_state.startedAt;
    }
    while (true) {
        const auto choice = co_await ServerSelection(m_thread, m_state).choose();
        if (m_state.isCallerGone) {
            recordOutcome(nameOf(AttemptEnd::CallerGone));
            co_return;
        }
        if (m_state.isEndedEarly) {
            co_await answerFailure();
            co_return;
        }
        if (m_thread.promptGuard().blockedPartOf(m_state.head)) {
            co_await answerFailure();
            co_return;
        }
        if (!choice.hasServer()) {
            co_await answerWithoutServer(choice);
            co_return;
        }
        const auto end = co_await runAttempt(choice);
        if (end == AttemptEnd::Delivered || end == AttemptEnd::CallerGone) {
            recordOutcome(nameOf(end));
            co_return;
        }
        if (!decideRetry(end)) {
            co_await answerFailure();
            co_return;
        }
        if (m_state.query.admission && m_state.query.admission->group) {
            m_state.query.admission->group->isRepeated = true;
        }
    }
}

std::optional<StreamAdmission> CallHandler::streamAdmission() const
{
    const auto *service = m_state.configuration->service(m_state.query.service);
    return service == nullptr || !service->engine
        ? std::nullopt
        : streamAdmissionFor(*m_state.route, *service->engine, m_state.urgency);
}

std::optional<PromptReuse> CallHandler::promptReuse() const
{
    const auto *service = m_state.configuration->service(m_state.query.service);
    return service == nullptr || !service->engine ? std::nullopt
                                                  : promptReuseFor(*m_state.route, *service->engine, m_state.head);
}

Task<AttemptEnd> CallHandler::runAttempt(const ServerChoice &choice)
{
    recordAttemptBegin(m_thread, m_state, choice);
    Attempt attempt(m_thread, m_exchange, m_state, choice.server);
    m_currentAttempt = &attempt;
    const auto end = co_await attempt.run();
    m_currentAttempt = nullptr;
    m_continuation.silentAttemptEnded();
    recordAttemptEnd(m_thread, m_state, attempt, end);
    releaseReservedPlace();
    co_return co_await finishContinuations(end);
}

void CallHandler::releaseReservedPlace()
{
    if (!m_state.reservedServer.isEmpty()) {
        const auto server = std::exchange(m_state.reservedServer, BackendServerId());
        m_thread.servers().recordCallEnded(server, AttemptEnd::Withdrawn, steadyNow());
    }
}

Task<AttemptEnd> CallHandler::finishContinuations(AttemptEnd end)
{
    while (const auto continuation = m_continuation.release()) {
        if (end == AttemptEnd::Delivered || end == AttemptEnd::CallerGone) {
            continuation->attempt.cancel("the call is over");
            co_await continuation->finish();
            continue;
        }
        m_currentAttempt = &continuation->attempt;
        end = co_await continuation->finish();
        m_currentAttempt = nullptr;
        m_continuation.silentAttemptEnded();
    }
    co_return end;
}

RetryVerdict CallHandler::retryVerdict(SteadyTime now)
{
    if (m_thread.promptGuard().blockedPartOf(m_state.head)) {
        return RetryVerdict::PromptBlocked;
    }
    if (m_state.isPromptSuspected) {
        return RetryVerdict::PromptSuspected;
    }
    if (!m_state.isResumable()) {
        return RetryVerdict::NotResumable;
    }
    if (std::exchange(m_state.isRetryReserved, false)) {
        return m_state.attempts.evaluate(*m_state.route, remainingTime());
    }
    return m_state.attempts.retry(*m_state.route, remainingTime(), m_thread.retryBudget(m_state.query.service), now);
}

bool CallHandler::decideRetry(AttemptEnd end)
{
    auto &budget = m_thread.retryBudget(m_state.query.service);
    const auto now = steadyNow();
    const auto verdict = retryVerdict(now);
    logEvent(LogLevel::Info,
             "retry-decided",
             {{"request", m_state.head.id},
              {"after", nameOf(end)},
              {"verdict", nameOf(verdict)},
              {"sent", m_state.attempts.sentCount()},
              {"limit", m_state.route->attemptLimit},
              {"left_ms", remainingTime().count()},
              {"charged", m_state.attempts.isRetryCharged()},
              {"retries_left", budget.retriesLeft(now)},
              {"process_ms", m_thread.uptime().count()}});
    if (verdict == RetryVerdict::Retry) {
        m_thread.metrics().counter("retries_total").add();
        if (m_state.attempts.isRetryCharged()) {
            m_thread.metrics().counter("retries_charged_total").add();
        }
    }
    return verdict == RetryVerdict::Retry;
}

std::optional<Problem> CallHandler::blockedProblem()
{
    auto &guard = m_thread.promptGuard();
    const auto part = guard.blockedPartOf(m_state.head);
    if (!part) {
        return std::nullopt;
    }
    const bool wasSent = m_state.attempts.sentCount() > 0;
    return Problem{ProblemKind::PromptBlocked,
                   StatusUnavailable,
                   wasSent ? "not-run" : "not-sent",
                   "servers crashed under part " + *part + " of the prompt",
                   guard.recordRefusal(*part)};
}

Task<> CallHandler::answerWithoutServer(const ServerChoice &choice)
{
    if (m_state.attempts.count() > 0) {
        co_await answerFailure();
        co_return;
    }
    const bool isOverloaded = choice.reason == ChoiceReason::AllFull || choice.reason == ChoiceReason::AllHeld
        || choice.reason == ChoiceReason::AllCold;
    recordColdSkipped(m_thread, choice);
    const auto kind = isOverloaded ? ProblemKind::Overloaded : ProblemKind::NoBackendServer;
    Problem problem{kind, StatusUnavailable, "not-sent", std::string(nameOf(choice.reason)), {}};
    problem.retryAfter = retryAfter(choice.reason);
    co_await refuse(std::move(problem));
}

Milliseconds CallHandler::retryAfter(ChoiceReason reason)
{
    const auto &outage = m_thread.serviceOutage(m_state.query.service);
    const bool isStopped
        = reason == ChoiceReason::GroupsClosed || reason == ChoiceReason::ServiceStopped || outage.isOut(steadyNow());
    if (isStopped && outage.isEnabled() && m_state.query.admission) {
        return ServiceOutage::returnAfter(remainingTime());
    }
    return m_thread.addJitter(timeUntilServed(usualRetryAfter(reason)), RetryAfterJitter);
}

Milliseconds CallHandler::usualRetryAfter(ChoiceReason reason) const
{
    const auto &admission = m_state.query.admission;
    const bool isRanked = reason == ChoiceReason::AllFull && admission && admission->group;
    return isRanked ? RankedRetryAfter * (1 + admission->group->rank()) : retryAfterOf(reason);
}

Task<> CallHandler::answerFailure()
{
    if (m_state.hasAnswerBegun) {
        m_exchange.abort();
        recordOutcome("cut");
        co_return;
    }
    if (m_state.fallbackAnswer) {
        auto &answer = *m_state.fallbackAnswer;
        co_await m_exchange.sendAnswer(answer.status, "", std::move(answer.body), std::move(answer.headers));
        recordOutcome("server-error");
        co_return;
    }
    if (m_state.attempts.isCertainlyNotRun()) {
        if (auto blocked = blockedProblem()) {
            co_await refuse(std::move(*blocked));
            co_return;
        }
        Problem problem{ProblemKind::NotRun, StatusUnavailable, "not-run", "no server took the call", {}};
        problem.retryAfter = m_state.isEndedEarly ? StoppingRetryAfter : retryAfter(ChoiceReason::AllFull);
        co_await refuse(std::move(problem));
        co_return;
    }
    const bool isTimeout = !m_state.isEndedEarly && remainingTime() <= Milliseconds(1);
    Problem problem{isTimeout ? ProblemKind::TimedOut : ProblemKind::AnswerUnknown,
                    isTimeout ? StatusGatewayTimeout : StatusBadGateway,
                    "unknown",
                    "no whole answer came from a server",
                    {}};
    if (!isTimeout && m_state.route->isRepeatable() && !m_thread.servers().canServe(m_state.query.service)) {
        problem.retryAfter = m_thread.addJitter(GroupRetryAfter, RetryAfterJitter);
    }
    co_await sendProblem(m_exchange, std::move(problem));
    recordOutcome(isTimeout ? "timed-out" : "unknown");
}

Task<> CallHandler::refuse(Problem problem)
{
    logEvent(LogLevel::Info,
             "refused",
             {{"request", m_state.head.id},
              {"status", problem.status},
              {"problem", nameOf(problem.kind)},
              {"detail", problem.detail},
              {"host", m_state.head.hostName},
              {"path", m_state.head.path},
              {"configuration", m_state.configuration ? m_state.configuration->version() : 0},
              {"retry_after_ms", problem.retryAfter ? problem.retryAfter->count() : 0}});
    m_thread.metrics().counter("calls_total{outcome=\"refused\"}").add();
    co_await sendProblem(m_exchange, std::move(problem));
}

void CallHandler::recordArrivalWhileDraining()
{
    const auto &admission = m_state.admission;
    if (!admission.drainingTime) {
        return;
    }
    m_thread.metrics().counter("calls_taken_draining_total").add();
    ++m_thread.stopSummary().taken;
    logEvent(LogLevel::Info,
             "taken-while-draining",
             {{"request", m_state.head.id},
              {"draining_ms", admission.drainingTime->count()},
              {"limit_ms", admission.limit.count()},
              {"admitted", nameOf(admission.verdict)},
              {"expected_ms", textOf(admission.expected)}});
}

void CallHandler::recordOutcome(std::string_view outcome)
{
    const auto now = steadyNow();
    const auto duration = now - m_state.startedAt;
    m_thread.metrics().counter("calls_total{outcome=\"" + std::string(outcome) + "\"}").add();
    m_thread.metrics().latency("call_seconds").record(duration);
    const bool isAnswered = outcome == nameOf(AttemptEnd::Delivered);
    m_thread.recordCallDuration(*m_state.route,
                                std::chrono::duration_cast<Microseconds>(duration),
                                isAnswered ? CallDurations::End::Answered : CallDurations::End::Unfinished);
    const auto first = m_state.firstByteAt.value_or(now) - m_state.startedAt;
    m_thread.metrics().latency("first_byte_seconds").record(first);
    logEvent(LogLevel::Info,
             "ended",
             {{"request", m_state.head.id},
              {"outcome", outcome},
              {"organisation", m_state.organisation.value()},
              {"attempts", m_state.attempts.count()},
              {"events", m_state.eventCount},
              {"first_ms", std::chrono::duration_cast<Milliseconds>(first).count()},
              {"longest_pause_ms", std::chrono::duration_cast<Milliseconds>(m_state.longestEventPause).count()},
              {"silence_ms", m_state.silence(now).count()},
              {"total_ms", std::chrono::duration_cast<Milliseconds>(duration).count()}});
}

Milliseconds CallHandler::timeUntilServed(Milliseconds usual) const
{
    const auto now = steadyNow();
    const auto heldUntil = m_thread.servers().heldUntil(m_state.query.service, now);
    return heldUntil ? std::chrono::ceil<Milliseconds>(*heldUntil - now) : usual;
}

Milliseconds CallHandler::remainingTime() const
{
    return m_state.remainingTime(steadyNow());
}

} // namespace Cardamomhill
