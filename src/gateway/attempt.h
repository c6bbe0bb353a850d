#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "gateway/callstate.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "traffic/answerhead.h"
#include "traffic/attemptend.h"
#include "traffic/eventsplitter.h"

#include <memory>
#include <string>
#include <string_view>

namespace Cardamomhill
{

class GatewayThread;
class HttpCall;
class HttpExchange;

/// One attempt of a call at one backend server: sends it, checks the answer and relays it to the caller.
class Attempt
{
public:
    Attempt(GatewayThread &thread, HttpExchange &exchange, CallState &state, BackendServerId server);
    ~Attempt();

    Task<AttemptEnd> run();

    /// Ends the attempt of a caller that has left.
    void cancel();

    /// Looks whether it still makes sense to wait for this server.
    void check(SteadyTime now);

    /// Breaks the attempt off if the call may go on at another server.
    void moveAway(std::string_view cause);

    const BackendServerId &server() const;

    /// Why the attempt gave no whole answer; empty if it did.
    const std::string &cause() const;

private:
    Task<bool> connect();
    Task<AttemptEnd> send();
    Task<AttemptEnd> relay();
    Task<AttemptEnd> relayWhole();
    Task<AttemptEnd> relayEvents();
    Task<AttemptEnd> endEvents();
    void countEvent();
    Task<bool> sendEvent(std::string_view bytes);
    Task<bool> begin();
    Task<Result<void, NetError>> skipForeignAnswers(Result<void, NetError> started);
    AttemptEnd classify(const NetError &error);
    AttemptEnd fail(std::string_view cause);
    HttpHeaders answerHeaders() const;
    Milliseconds left() const;
    /// Time for a whole answer, after which another server is tried if that is allowed.
    Milliseconds answerLimit() const;
    void arrived();
    void keepConnection();

    GatewayThread &m_thread;
    HttpExchange &m_exchange;
    CallState &m_state;
    BackendServerId m_server;
    std::unique_ptr<HttpCall> m_call;
    /// The connection served other calls before.
    bool m_isReused = false;
    AnswerHead m_answer;
    EventSplitter m_events;
    std::string m_cause;
    /// When something of the answer arrived last, or when it was sent.
    SteadyTime m_lastArrival{};
    /// Why this process broke the attempt off itself.
    std::string m_breakCause;
};

} // namespace Cardamomhill
