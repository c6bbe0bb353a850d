#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/neterror.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Cardamomhill
{

/// A stand-in for a backend server of the users' platform. The last component of the path selects how it answers: `ok`,
/// `shed` (503, not run), `error` (500), `truncated` (a body shorter than its length), `unsigned` (without a response
/// seal), `unpromised` (503 that doesn't say that the call was not run), `silent` (no answer), `extra` (the answer
/// twice), `misdirected` (421), `endless` (a body without a length, ended by closing), `stream`, `broken-stream`,
/// `slow`, `unnamed` (no request id), `endless-head`, `endless-foreign` (an endless body with the id of another
/// request), `endless-event`, `trickle` (single bytes that never complete an event), `refusal-WHEN` (as `ok`, with a
/// repeated refusal of an earlier call on the connection: `before` the answer, `joined` to it, `split` over segments
/// before it, `unnamed` before it and without an id, or, with its own id, `after` or `late` after it),
/// `anonymous-stream` (breaks, without ids of events), `own-refusal` (a refusal whose id is split over segments),
/// `resumed-FAULT` (at any server a stream that breaks, and one with that fault if it is resumed: `error`, `refused`,
/// `unsigned`, `plain`, `empty`, `not-found`, `cut-head`, `error-head` in place of a chunk), `paused-FAULT` (at any
/// server a whole stream, and if it is resumed `refused`, `closed` without an answer, or `taken` and continued at
/// once). A server whose id does not begin with `bad` answers all of them correctly. Headers `X-Events` and
/// `X-Event-Interval-Ms` state how many events a stream has and the time between them; `X-Last-Interval-Ms` states the
/// time before the last one, `X-Delay-Ms` the delay of `slow`. A call for another instance gets 421. Answers are
/// written as plain text rather than through an HTTP library, so that they can violate the protocol. GET /runs/ID
/// returns how often a call ran here; GET /abandoned returns how many connections the caller closed before it had the
/// whole answer.
class DirectBackend
{
public:
    /// Notified of each call that runs here.
    using RunObserver = std::function<void(const HttpRequest &)>;

    /// @param onAnswered notified when the whole of a correct answer or stream has been written
    DirectBackend(asio::io_context &context, std::string id, RunObserver onRun = {}, RunObserver onAnswered = {});

    Result<void, NetError> listen(const tcp::endpoint &endpoint);
    tcp::endpoint endpoint() const;

    /// States in all further answers that this server is leaving.
    void setLeaving(bool isLeaving);

    /// States in all further answers, until then, how much longer this server is cold.
    void setColdUntil(SteadyTime until);

    /// Answers all further calls with 503, not run, and this value of Retry-After. An empty text ends that.
    void setRetryAfter(std::string retryAfter);

    /// How a connection ends after a raw answer, if it does.
    enum class ConnectionEnd : std::uint8_t { Closed, Reset, KeptOpen };

    /// The bytes of an answer and the end of its connection.
    struct RawAnswer {
        std::string bytes;
        ConnectionEnd end = ConnectionEnd::Closed;
    };

    /// Answers all further calls so.
    void setRawAnswer(std::function<RawAnswer(const HttpRequest &)> answer);

    /// The number of calls that have been received, whether they were run or refused.
    std::uint64_t callCount() const;

    /// Closes all connections without finishing answers, like a killed process. The object must outlive all its
    /// coroutines.
    void stop();

private:
    struct Connection;

    Task<> acceptLoop();
    Task<> serve(std::shared_ptr<Connection> connection);
    /// Returns whether the connection stays open.
    Task<bool> answer(Connection &connection, const HttpRequest &request);
    Task<bool> answerCorrectly(Connection &connection, const HttpRequest &request, bool twice);
    Task<bool> stream(Connection &connection, const HttpRequest &request, bool breaks);
    /// Repeats the text until the caller closes the connection.
    Task<bool> writeEndlessly(Connection &connection, const std::string &text, Milliseconds interval);
    Task<bool> answerEndlessly(Connection &connection, const HttpRequest &request, const std::string &behaviour);
    Task<bool> answerWithRefusal(Connection &connection, const HttpRequest &request, const std::string &when);
    Task<bool> refuseInSegments(Connection &connection, const HttpRequest &request);
    Task<bool> answerPaused(Connection &connection, const HttpRequest &request, const std::string &fault);
    Task<bool> answerResumed(Connection &connection, const HttpRequest &request, const std::string &fault);
    Task<bool> write(Connection &connection, std::string text);
    Task<> pause();
    Task<bool> answerRaw(Connection &connection, const HttpRequest &request);
    void countRun(const HttpRequest &request);
    void notifyAnswered(const HttpRequest &request, bool wasSent) const;
    std::string responseHead(const HttpRequest &request, unsigned status, const std::string &headers) const;
    std::string description(const HttpRequest &request) const;

    asio::io_context &m_context;
    std::string m_id;
    RunObserver m_onRun;
    RunObserver m_onAnswered;
    tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_abandoned = 0;
    std::uint64_t m_callCount = 0;
    bool m_isLeaving = false;
    SteadyTime m_coldUntil{};
    std::string m_retryAfter;
    std::function<RawAnswer(const HttpRequest &)> m_rawAnswer;
};

} // namespace Cardamomhill
