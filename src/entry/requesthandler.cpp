#include "entry/requesthandler.h"

#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "entry/agentlink.h"
#include "entry/answerrelay.h"
#include "entry/attemptchannel.h"
#include "entry/problem.h"
#include "entry/requestparser.h"
#include "entry/trafficthread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

RequestHandler::RequestHandler(TrafficThread &thread, HttpExchange &exchange)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_startedAt(steadyNow())
{
}

Task<> RequestHandler::run()
{
    auto parsed
        = parseCallerRequest(m_exchange.request(), m_thread.configuration(), m_thread.nextRequestId(), m_startedAt);
    if (parsed.has_error()) {
        m_thread.metrics().counter("requests_total{outcome=\"refused\"}").add();
        co_await sendProblem(m_exchange, parsed.error());
        co_return;
    }
    m_request = std::move(parsed.value());
    m_thread.requestStarted();
    co_await serve();
    m_thread.requestEnded();
}

Task<> RequestHandler::serve()
{
    Next next = Next::Retry;
    while (next == Next::Retry) {
        next = co_await attempt();
    }
}

Task<RequestHandler::Next> RequestHandler::attempt()
{
    const auto chosen = m_thread.chooseBackendServer(m_request, m_tried);
    if (!chosen) {
        co_await answerFailure(std::nullopt);
        co_return Next::Stop;
    }
    m_tried.insert(chosen->server);
    const auto link = chosen->link;
    auto execute = m_thread.makeExecute(m_request);
    const auto id = execute.attempt;
    const auto channel = link->execute(std::move(execute));
    m_exchange.watchDisconnect([channel] { channel->abandon(); });
    AnswerRelay relay(m_exchange, *channel, [link, id] { link->acknowledge(id); });
    const auto end = co_await relay.run(m_request.deadline);
    m_exchange.stopWatching();
    link->release(id);
    m_thread.attemptEnded(chosen->server, end);
    if (relay.firstByteAt()) {
        m_thread.metrics().latency("first_byte_seconds").record(*relay.firstByteAt() - m_startedAt);
    }
    if (end == RelayEnd::FailedBeforeAnswer) {
        co_return co_await afterFailure(*relay.failure());
    }
    if (end == RelayEnd::TimedOut && !m_exchange.hasBegun()) {
        Problem problem{ProblemKind::TimedOut, 504, "unknown", "the time limit of the request passed", std::nullopt};
        co_await sendProblem(m_exchange, std::move(problem));
    }
    finish(nameOf(end));
    co_return Next::Stop;
}

Task<RequestHandler::Next> RequestHandler::afterFailure(const AttemptEvent &failure)
{
    const auto *failed = std::get_if<AttemptFailed>(&failure);
    m_mayHaveRun = m_mayHaveRun || (failed != nullptr && failed->outcome == AttemptOutcome::Unknown);
    const bool hasTime = steadyNow() < m_request.deadline;
    const bool mayRepeat = m_request.isIdempotent || !m_mayHaveRun;
    if (hasTime && mayRepeat && m_thread.mayRetry()) {
        co_return Next::Retry;
    }
    co_await answerFailure(failure);
    co_return Next::Stop;
}

Task<> RequestHandler::answerFailure(const std::optional<AttemptEvent> &failure)
{
    const auto *failed = failure ? std::get_if<AttemptFailed>(&*failure) : nullptr;
    Problem problem{
        ProblemKind::NoBackendServer, 503, "not-sent", "no backend server can take the request", Seconds(1)};
    if (m_mayHaveRun) {
        problem = {ProblemKind::AnswerUnknown, 502, "unknown", "the answer was lost", Seconds(1)};
    } else if (failed != nullptr) {
        problem = {ProblemKind::NotRun, 503, std::string(nameOf(failed->outcome)), "", Seconds(1)};
    }
    if (failed != nullptr) {
        problem.detail = nameOf(failed->reason);
    }
    const auto outcome = problem.outcome;
    co_await sendProblem(m_exchange, std::move(problem));
    finish(outcome);
}

void RequestHandler::finish(std::string_view outcome)
{
    const auto duration = steadyNow() - m_startedAt;
    m_thread.metrics().counter("requests_total{outcome=\"" + std::string(outcome) + "\"}").add();
    m_thread.metrics().latency("request_seconds").record(duration);
    logEvent(LogLevel::Info,
             "request-ended",
             {{"request", m_request.id.value()},
              {"organisation", m_request.organisation->id.value()},
              {"service", m_request.service->id.value()},
              {"outcome", outcome},
              {"attempts", m_tried.size()},
              {"duration_us", duration.count()}});
}

} // namespace Cardamomhill
