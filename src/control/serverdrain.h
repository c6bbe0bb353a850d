#pragma once

#include "core/clocktypes.h"
#include "drain/calladmission.h"
#include "drain/entrydrain.h"
#include "net/asio.h"
#include "traffic/calldurations.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Cardamomhill
{

class HttpServer;

/// Drains the HTTP server of one traffic thread, on that thread: first the server closes connections after their
/// answers, then it stops listening, and shortly before the process is killed what still runs is ended.
class ServerDrain
{
public:
    struct Handlers {
        /// The number of calls in progress.
        std::function<std::size_t()> callCount;
        /// Ends the calls in progress. May be called repeatedly.
        std::function<void()> endCalls;
        /// Draining is over, because no connection is left (`drained`) or the time is (`time-over`). No call can begin
        /// between this decision and the handler, which must end the thread's context.
        std::function<void(std::string_view reason)> onDrained;
    };

    ServerDrain(asio::io_context &context, HttpServer &server, const EntryDrain &drain, Handlers handlers);

    /// @param signalNotSentBefore when the signal to stop can have been sent at the earliest
    void start(SteadyTime signalNotSentBefore);
    bool isDraining() const;
    /// Time since start(), or nothing before it.
    std::optional<Milliseconds> drainingTime() const;

    /// Whether a call may begin, given the longest time that it may take. Once the server drains, only calls that are
    /// likely to end before the process is killed may.
    /// @param callClass names the calls that usually take equally long, such as those of one route
    /// @param oldestRunning how long the oldest call of the class in progress has taken so far
    CallAdmission admit(const std::string &callClass, Milliseconds limit, Microseconds oldestRunning) const;
    void recordCallDuration(const std::string &callClass, Microseconds duration, CallDurations::End end);

    /// Logs an event of the drain with the numbers of calls and connections.
    void log(std::string_view event, std::string_view reason) const;

private:
    Task<> drainLoop();
    void stopAccepting();

    asio::io_context &m_context;
    HttpServer &m_server;
    EntryDrain m_drain;
    Handlers m_handlers;
    std::unordered_map<std::string, CallDurations> m_callDurations;
};

} // namespace Cardamomhill
