#include "gateway/streamcontinuation.h"

#include "gateway/attemptrecord.h"
#include "gateway/callstate.h"
#include "gateway/gatewaythread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <utility>

namespace Cardamomhill
{

namespace
{

/// Only limits one wait for the end of an attempt; the wait is repeated.
constexpr Seconds EndWait{60};

} // namespace

StreamContinuation::Run::Run(GatewayThread &thread, HttpExchange &exchange, CallState &state, BackendServerId server)
    : attempt(thread, exchange, state, std::move(server), AttemptRole::Continuation)
    , ended(thread.context())
{
}

Task<AttemptEnd> StreamContinuation::Run::finish()
{
    while (!end) {
        co_await ended.waitUntil(steadyNow() + EndWait);
    }
    co_return *end;
}

StreamContinuation::StreamContinuation(GatewayThread &thread, HttpExchange &exchange, CallState &state)
    : m_thread(thread)
    , m_exchange(exchange)
    , m_state(state)
{
}

bool StreamContinuation::isAllowed() const
{
    const auto &guard = m_thread.promptGuard();
    return !m_run && !m_state.isCallerGone && !m_state.isEndedEarly && m_state.isResumable()
        && m_state.attempts.allowsRetryAfter(AttemptEnd::Broken, *m_state.route, m_state.remainingTime(steadyNow()))
        && !guard.blockedPartOf(m_state.head) && !guard.isSuspected(m_state.head);
}

void StreamContinuation::begin(Attempt &silent, std::string_view cause)
{
    if (!isAllowed()) {
        return;
    }
    const auto now = steadyNow();
    const auto choice = m_thread.servers().choose(m_state.query, now, m_thread.random());
    auto &budget = m_thread.retryBudget(m_state.query.service);
    if (!choice.hasServer() || !budget.tryTakeRetry(now)) {
        return;
    }
    m_thread.metrics().counter("retries_total").add();
    m_thread.metrics().counter("retries_charged_total").add();
    m_thread.metrics().counter("streams_continued_beside_total").add();
    logEvent(LogLevel::Info,
             "continuation-begun",
             {{"request", m_state.head.id},
              {"silent", silent.server().value()},
              {"cause", cause},
              {"left_ms", m_state.remainingTime(now).count()},
              {"retries_left", budget.retriesLeft(now)}});
    recordAttemptBegin(m_thread, m_state, choice);
    m_silent = &silent;
    m_run = std::make_shared<Run>(m_thread, m_exchange, m_state, choice.server);
    spawn(m_thread.context().get_executor(), "stream-continuation", run(m_run));
}

Task<> StreamContinuation::run(std::shared_ptr<Run> run)
{
    const auto end = co_await run->attempt.run();
    recordAttemptEnd(m_thread, m_state, run->attempt, end);
    if (m_run == run) {
        m_run.reset();
    }
    run->end = end;
    run->ended.notify();
}

void StreamContinuation::silentAttemptEnded()
{
    m_silent = nullptr;
}

void StreamContinuation::cancel(std::string_view cause)
{
    if (m_run) {
        m_run->attempt.cancel(cause);
    }
}

void StreamContinuation::takeOver()
{
    if (m_silent != nullptr) {
        m_silent->cancel("the stream goes on at another server");
    }
}

std::shared_ptr<StreamContinuation::Run> StreamContinuation::release()
{
    return std::exchange(m_run, nullptr);
}

} // namespace Cardamomhill
