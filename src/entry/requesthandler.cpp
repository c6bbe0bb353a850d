#include "entry/requesthandler.h"

#include "config/configuration.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "core/jsonfield.h"
#include "core/parsejson.h"
#include "entry/agentlink.h"
#include "entry/attemptchannel.h"
#include "entry/attemptproblem.h"
#include "entry/requestparser.h"
#include "entry/trafficthread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr const char *KeysPath = "/v1/keys";

Seconds roundedUp(Milliseconds time)
{
    return std::chrono::ceil<Seconds>(time);
}

AttemptResult resultOf(RelayEnd end, const std::optional<AttemptEvent> &failure)
{
    if (end == RelayEnd::Completed) {
        return AttemptResult::Success;
    }
    if (end == RelayEnd::CallerDisconnected) {
        return AttemptResult::Neutral;
    }
    const auto *failed = failure ? std::get_if<AttemptFailed>(&*failure) : nullptr;
    const bool isOrderlyRefusal = failed != nullptr && failed->outcome != AttemptOutcome::Unknown
        && failed->reason != AttemptReason::EngineUnreachable;
    return isOrderlyRefusal ? AttemptResult::Neutral : AttemptResult::Failure;
}

} // namespace

RequestHandler::RequestHandler(TrafficThread &thread, HttpExchange &exchange)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_startedAt(steadyNow())
{
}

Task<> RequestHandler::run()
{
    if (m_exchange.request().target() == KeysPath) {
        co_await issueKey();
        co_return;
    }
    auto parsed
        = parseCallerRequest(m_exchange.request(), m_thread.configuration(), m_thread.nextRequestId(), m_startedAt);
    if (parsed.has_error()) {
        co_await refuse(parsed.error());
        co_return;
    }
    m_request = std::move(parsed.value());
    auto keyProblem = findSlotOwner();
    if (keyProblem) {
        co_await refuse(std::move(*keyProblem));
        co_return;
    }
    auto timeProblem = checkTimeLeft();
    if (timeProblem) {
        co_await refuse(std::move(*timeProblem));
        co_return;
    }
    const auto admitted = m_thread.routing().admit(m_request);
    if (admitted.has_error()) {
        const auto &refusal = admitted.error();
        Problem problem{
            ProblemKind::Overloaded, refusal.httpStatus(), "not-sent", std::string(nameOf(refusal.code)), {}};
        problem.retryAfter = roundedUp(refusal.retryAfter);
        co_await refuse(std::move(problem));
        co_return;
    }
    m_thread.requestStarted(*this);
    recordArrivalWhileDraining();
    co_await serveAdmitted();
    m_thread.requestEnded(*this);
    m_thread.routing().release(m_request);
}

void RequestHandler::endEarly()
{
    if (m_isEndedEarly) {
        return;
    }
    m_isEndedEarly = true;
    m_thread.metrics().counter("requests_ended_early_total").add();
    logEvent(LogLevel::Warning,
             "ended-early",
             {{"request", m_request.id.value()},
              {"attempts", m_attempts.count()},
              {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(steadyNow() - m_startedAt).count()}});
    if (m_channel) {
        m_channel->abandon();
    }
}

std::optional<Problem> RequestHandler::checkTimeLeft() const
{
    const auto limit = std::chrono::duration_cast<Milliseconds>(m_request.deadline - m_startedAt);
    if (m_thread.admitsRequest(m_request.service->id, limit)) {
        return std::nullopt;
    }
    return Problem{ProblemKind::NotReady, 503, "not-sent", "the host is stopping", Milliseconds(0)};
}

void RequestHandler::recordArrivalWhileDraining()
{
    const auto drainingTime = m_thread.drainingTime();
    if (!drainingTime) {
        return;
    }
    m_thread.metrics().counter("requests_taken_draining_total").add();
    const auto limit = std::chrono::duration_cast<Milliseconds>(m_request.deadline - m_startedAt);
    logEvent(LogLevel::Info,
             "taken-while-draining",
             {{"request", m_request.id.value()}, {"draining_ms", drainingTime->count()}, {"limit_ms", limit.count()}});
}

Task<> RequestHandler::serveAdmitted()
{
    NextStep next = NextStep::Retry;
    while (next == NextStep::Retry) {
        next = co_await attempt();
    }
}

Task<> RequestHandler::issueKey()
{
    const auto configuration = m_thread.configuration();
    const auto *organisation = authenticate(m_exchange.request(), *configuration);
    if (organisation == nullptr) {
        co_await refuse({ProblemKind::TokenInvalid, 401, "not-sent", "no organisation has this bearer token", {}});
        co_return;
    }
    const auto body = parseJson(m_exchange.request().body());
    const auto name = body.has_value() ? jsonString(body.value(), "service") : std::string();
    if (configuration->service(ServiceId(name)) == nullptr) {
        co_await refuse({ProblemKind::ServiceUnknown, 404, "not-sent", R"(the body is {"service": "<name>"})", {}});
        co_return;
    }
    const auto key = m_thread.routing().issueKey(ServiceId(name), organisation->id);
    if (!key) {
        co_await refuse(
            {ProblemKind::NoBackendServer, 503, "not-sent", "no owner of a slot can be reached", Seconds(1)});
        co_return;
    }
    const nlohmann::json answer{{"idempotency_key", key->toString()}, {"service", name}};
    co_await m_exchange.sendAnswer(201, "application/json", answer.dump());
}

std::optional<Problem> RequestHandler::findSlotOwner()
{
    if (m_request.isIdempotent) {
        return std::nullopt;
    }
    if (m_request.idempotencyKey.empty()) {
        return Problem{ProblemKind::IdempotencyKeyMissing,
                       400,
                       "not-sent",
                       "a non-idempotent call needs the header Idempotency-Key with a UUIDv7 (RFC 9562)",
                       {}};
    }
    const auto key = IdempotencyKey::parse(m_request.idempotencyKey);
    if (key.has_error()) {
        return Problem{ProblemKind::IdempotencyKeyInvalid, 400, "not-sent", std::string(nameOf(key.error().code)), {}};
    }
    m_slotOwner = m_thread.routing().slotOwner(m_request, key.value());
    if (!m_slotOwner) {
        return Problem{ProblemKind::NoBackendServer, 503, "not-sent", "the service has no slot table", Seconds(1)};
    }
    return std::nullopt;
}

Task<RequestHandler::NextStep> RequestHandler::attempt()
{
    const auto decision = m_thread.routing().choose(m_request, m_tried, m_slotOwner);
    if (decision.has_error()) {
        co_await reportNotRouted(decision.error());
        co_return NextStep::Stop;
    }
    const auto server = decision.value().server;
    m_tried.push_back(server);
    const auto number = m_attempts.start();
    m_thread.routing().attemptStarted(server);
    const auto relayed = co_await relayAttempt(m_thread.link(server));
    m_thread.routing().attemptEnded(server, resultOf(relayed.end, relayed.failure));
    m_attempts.end(number, outcomeOf(relayed.end, relayed.failure));
    if (relayed.failure) {
        co_return co_await handleFailure(*relayed.failure, relayed.end == RelayEnd::BrokenAnswer);
    }
    co_await finishWithoutFailure(relayed.end);
    co_return NextStep::Stop;
}

Task<RequestHandler::RelayedAttempt> RequestHandler::relayAttempt(std::shared_ptr<AgentLink> link)
{
    auto execute = m_thread.makeExecute(m_request);
    const auto id = execute.attempt;
    const auto channel = link->execute(std::move(execute));
    m_channel = channel;
    bool isCallerGone = false;
    m_exchange.watchDisconnect([channel, &isCallerGone] {
        isCallerGone = true;
        channel->abandon();
    });
    AnswerRelay relay(m_exchange, *channel, [link, id] { link->acknowledge(id); });
    const auto end = co_await relay.run(m_request.deadline);
    m_exchange.stopWatching();
    m_channel.reset();
    const bool wasSent = link->release(id);
    if (relay.firstByteAt()) {
        m_thread.metrics().latency("first_byte_seconds").record(*relay.firstByteAt() - m_startedAt);
    }
    RelayedAttempt relayed{end, relay.failure()};
    if (end == RelayEnd::CallerDisconnected && m_isEndedEarly && !isCallerGone) {
        relayed.end = m_exchange.hasAnswerBegun() ? RelayEnd::BrokenAnswer : RelayEnd::FailedBeforeAnswer;
        relayed.failure = wasSent ? AttemptEvent(AttemptFailed{AttemptOutcome::Unknown, AttemptReason::Leaving, 0})
                                  : AttemptEvent(AttemptNotSent());
    }
    co_return relayed;
}

Task<> RequestHandler::finishWithoutFailure(RelayEnd end)
{
    if (end == RelayEnd::TimedOut && !m_exchange.hasAnswerBegun()) {
        Problem problem{ProblemKind::TimedOut, 504, "unknown", "the time limit of the request passed", {}};
        co_await sendProblem(m_exchange, std::move(problem));
    }
    finish(nameOf(end));
}

Task<RequestHandler::NextStep> RequestHandler::handleFailure(const AttemptEvent &failure, bool answerStarted)
{
    if (!m_isEndedEarly && m_thread.routing().mayRetry(m_request, m_attempts, answerStarted).has_value()) {
        m_thread.metrics().counter("retries_total").add();
        co_return NextStep::Retry;
    }
    if (answerStarted) {
        finish(nameOf(RelayEnd::BrokenAnswer));
    } else {
        co_await reportFailure(failure);
    }
    co_return NextStep::Stop;
}

Task<> RequestHandler::reportNotRouted(const RoutingError &error)
{
    const auto outcome = m_attempts.count() == 0 ? RequestOutcome::NotSent : m_attempts.outcome();
    Problem problem{
        ProblemKind::NoBackendServer, 503, std::string(nameOf(outcome)), std::string(nameOf(error.code)), {}};
    problem.retryAfter = roundedUp(error.retryAfter);
    if (m_slotOwner && outcome == RequestOutcome::NotSent) {
        const auto key = m_thread.routing().issueKey(m_request.service->id, m_request.organisation->id);
        problem.replacementKey = key ? key->toString() : std::string();
    }
    co_await sendProblem(m_exchange, std::move(problem));
    finish(nameOf(outcome));
}

Task<> RequestHandler::reportFailure(const AttemptEvent &failure)
{
    const auto outcome = m_attempts.outcome();
    auto problem = problemOfFailure(failure, outcome);
    if (m_slotOwner && outcome == RequestOutcome::NotSent) {
        const auto key = m_thread.routing().issueKey(m_request.service->id, m_request.organisation->id);
        problem.replacementKey = key ? key->toString() : std::string();
    }
    co_await sendProblem(m_exchange, std::move(problem));
    finish(nameOf(outcome));
}

Task<> RequestHandler::refuse(Problem problem)
{
    m_thread.metrics().counter("requests_total{outcome=\"refused\"}").add();
    logEvent(LogLevel::Info, "request-refused", {{"problem", nameOf(problem.kind)}, {"detail", problem.detail}});
    co_await sendProblem(m_exchange, std::move(problem));
}

void RequestHandler::finish(std::string_view outcome)
{
    const auto duration = steadyNow() - m_startedAt;
    m_thread.metrics().counter("requests_total{outcome=\"" + std::string(outcome) + "\"}").add();
    m_thread.metrics().latency("request_seconds").record(duration);
    const bool isAnswered = outcome == nameOf(RelayEnd::Completed);
    m_thread.recordDuration(m_request.service->id,
                            std::chrono::duration_cast<Microseconds>(duration),
                            isAnswered ? CallDurations::End::Answered : CallDurations::End::Unfinished);
    logEvent(LogLevel::Info,
             "request-ended",
             {{"request", m_request.id.value()},
              {"organisation", m_request.organisation->id.value()},
              {"service", m_request.service->id.value()},
              {"outcome", outcome},
              {"attempts", m_attempts.count()},
              {"duration_us", duration.count()}});
}

} // namespace Cardamomhill
