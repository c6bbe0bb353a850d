#include "control/serverdrain.h"

#include "logging/logging.h"
#include "net/httpserver.h"
#include "net/spawn.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{20};
/// Progress is logged twice a second.
constexpr std::uint64_t TicksPerLog = 25;
constexpr std::size_t MaxCallClasses = 1024;

} // namespace

ServerDrain::ServerDrain(asio::io_context &context, HttpServer &server, const EntryDrain &drain, Handlers handlers)
    : m_context(context)
    , m_server(server)
    , m_drain(drain)
    , m_handlers(std::move(handlers))
{
}

void ServerDrain::start(SteadyTime signalNotSentBefore)
{
    const auto now = steadyNow();
    m_drain.onTerminate(now, std::chrono::duration_cast<Microseconds>(now - signalNotSentBefore));
    m_server.setCloseAfterAnswers(true);
    spawn(m_context.get_executor(), "server-drain", drainLoop());
}

bool ServerDrain::isDraining() const
{
    return m_drain.isLeaving();
}

std::optional<Milliseconds> ServerDrain::drainingTime() const
{
    if (!m_drain.isLeaving()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(m_drain.elapsed(steadyNow()));
}

CallAdmission ServerDrain::admit(const std::string &callClass, Milliseconds limit, Microseconds oldestRunning) const
{
    CallAdmission admission;
    admission.limit = limit;
    if (!isDraining()) {
        return admission;
    }
    const auto now = steadyNow();
    const auto durations = m_callDurations.find(callClass);
    const auto expected
        = durations == m_callDurations.end() ? std::nullopt : durations->second.expected(limit, oldestRunning, now);
    admission.verdict = m_drain.admission(now, limit, expected);
    admission.drainingTime = drainingTime();
    if (expected) {
        admission.expected = std::chrono::ceil<Milliseconds>(*expected);
    }
    return admission;
}

void ServerDrain::recordCallDuration(const std::string &callClass, Microseconds duration, CallDurations::End end)
{
    // Classes of routes that are gone are forgotten with all others.
    if (m_callDurations.size() >= MaxCallClasses && !m_callDurations.contains(callClass)) {
        m_callDurations.clear();
    }
    m_callDurations[callClass].record(duration, end, steadyNow());
}

void ServerDrain::log(std::string_view event, std::string_view reason) const
{
    logEvent(LogLevel::Info,
             event,
             {{"reason", reason},
              {"calls", m_handlers.callCount()},
              {"connections", m_server.connectionCount()},
              {"draining_ms", std::chrono::duration_cast<Milliseconds>(m_drain.elapsed(steadyNow())).count()}});
}

void ServerDrain::stopAccepting()
{
    const auto backlog = m_server.stopAccepting();
    logEvent(LogLevel::Info,
             "listener-closed",
             {{"backlog", backlog}, {"connections", m_server.connectionCount()}, {"calls", m_handlers.callCount()}});
}

Task<> ServerDrain::drainLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    bool isListening = true;
    for (std::uint64_t ticks = 1; !error && !m_drain.shouldExit(); ++ticks) {
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
        m_drain.onTick(steadyNow());
        if (isListening && !m_drain.acceptsConnections()) {
            isListening = false;
            stopAccepting();
        }
        if (m_drain.mustEndCalls()) {
            m_handlers.endCalls();
        }
        m_drain.onStreamCount(m_server.connectionCount(), !isListening);
        if (ticks % TicksPerLog == 0) {
            log("drain-progress", isListening ? "listening" : "closing");
        }
    }
    // Decided on this thread and without waiting, so that no call can arrive in between.
    m_handlers.onDrained(m_drain.mustEndCalls() ? "time-over" : "drained");
}

} // namespace Cardamomhill
