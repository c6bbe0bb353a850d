#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "gateway/attemptrole.h"
#include "gateway/callstate.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "traffic/answerhead.h"
#include "traffic/attemptend.h"
#include "traffic/deliveryturn.h"
#include "traffic/eventsplitter.h"
#include "traffic/serverprocess.h"

#include <memory>
#include <string>
#include <string_view>

namespace Cardamomhill
{

class GatewayThread;
class HttpClientConnection;
class HttpExchange;
struct StreamTimeouts;

/// One attempt to have a call served by one backend server: sends the request, validates the answer and relays it to
/// the caller.
class Attempt
{
public:
    Attempt(GatewayThread &thread,
            HttpExchange &exchange,
            CallState &state,
            BackendServerId server,
            AttemptRole role = AttemptRole::Only);
    ~Attempt();

    Task<AttemptEnd> run();

    /// Closes the connection to the server, because nobody waits for its answer any more. Nothing is sent if there is
    /// none yet.
    /// @param cause becomes the cause of the attempt's end
    void cancel(std::string_view cause);

    /// Has the call retried or continued elsewhere if its server is unavailable or unresponsive. To be called
    /// periodically.
    void checkProgress(SteadyTime now);

    /// Has the call served by another server, if the route, the time left and the retry budget allow that: an answer
    /// that has begun is continued there while this attempt goes on, else the attempt is cancelled. Nothing happens
    /// while no other server can take the call.
    /// @param cause why another server is wanted
    void moveElsewhere(std::string_view cause);

    /// Cancels the attempt if a part of its prompt is blocked and its answer has not gone on.
    void cancelIfBlocked();

    const BackendServerId &server() const;

    /// Whether events of the answer have arrived.
    bool hasEvents() const;

    /// Why the attempt delivered no complete answer; empty if it did.
    const std::string &cause() const;
    SteadyTime begunAt() const;
    /// Whether this host cancelled it.
    bool isCancelled() const;

private:
    Task<AttemptEnd> sendUnlessOver();
    Task<bool> connect();
    /// Whether the server's failure domain is evacuated.
    bool isEvacuated() const;
    Task<AttemptEnd> sendRequest();
    Task<AttemptEnd> relayAnswer();
    Task<AttemptEnd> relayBufferedAnswer();
    Task<AttemptEnd> relayEvents();
    Task<AttemptEnd> endAnswer();
    /// Whether this attempt may deliver what it has received, rather than one that runs beside it.
    bool claimDelivery();
    void recordEvent();
    /// Tells the prompt guard, once, that the answer has gone on; again while it suspects any prompt.
    void recordProgress();
    bool hasGoneOn() const;
    Task<bool> deliverEvent(std::string_view bytes);
    Task<bool> beginAnswer();
    Task<Result<void, NetError>> skipForeignAnswers(Result<void, NetError> started);
    AttemptEnd endFromError(const NetError &error);
    AttemptEnd endAsBroken(std::string_view cause);
    HttpHeaders answerHeaders() const;
    Milliseconds remainingTime() const;
    void recordArrival();
    /// Waits for memory for the event that is arriving, if it is large; meanwhile the server's answer is not read.
    /// Returns false if nobody waits for the stream any more or its time is over.
    Task<bool> waitForRoom();
    void releaseConnection();
    /// Records how long the server took for the call, if it has answered it completely.
    void recordAnswered();
    /// Whether nobody waits for this attempt any more.
    bool isGivenUp() const;
    /// Cancels the attempt for a retry, if the route, the time left and the retry budget allow one.
    /// @return whether it was cancelled
    bool cancelForRetry(std::string_view cause);
    /// As cancelForRetry(), if another server can take the call. A place there is kept for it, since several attempts
    /// that are cancelled at the same time would all see the last one.
    void cancelForOtherServer(std::string_view cause);
    /// How long nothing may arrive from the server, or from its group if it has one.
    Milliseconds silenceLimit(const StreamTimeouts &timeouts, bool hasGroup) const;

    GatewayThread &m_thread;
    HttpExchange &m_exchange;
    CallState &m_state;
    BackendServerId m_server;
    AttemptRole m_role;
    SteadyTime m_begunAt;
    DeliveryTurn::Ticket m_ticket;
    /// The process that was registered when the attempt began to connect.
    ServerProcess m_process;
    /// The failure domain of that process.
    FailureDomainId m_failureDomain;
    std::unique_ptr<HttpClientConnection> m_connection;
    /// The connection was used for earlier calls.
    bool m_isReused = false;
    AnswerHead m_answer;
    /// The head of the answer to this call has been received.
    bool m_hasHead = false;
    EventSplitter m_eventSplitter;
    /// Whole events that this attempt received.
    std::size_t m_eventCount = 0;
    std::string m_cause;
    /// When the head of the answer or the last whole event was received; before that, when the attempt began sending.
    SteadyTime m_lastArrival{};
    SteadyTime m_sentAt{};
    /// Calls in progress at the server when the request was sent.
    double m_callsWhenSent = 0;
    /// Why this process cancelled the attempt itself; empty if it did not.
    std::string m_cancelCause;
};

} // namespace Cardamomhill
