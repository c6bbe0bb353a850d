#pragma once

#include "entry/problem.h"
#include "gateway/callstate.h"
#include "gateway/streamcontinuation.h"
#include "net/asio.h"
#include "traffic/promptreuse.h"
#include "traffic/serverchoice.h"
#include "traffic/streamadmission.h"

#include <optional>
#include <string_view>

namespace Cardamomhill
{

class Attempt;
class GatewayThread;
class HttpExchange;
struct Route;

/// Serves one call: finds its route and organisation, sends it to a backend server, retries where that is allowed, and
/// gives the caller exactly one answer.
class CallHandler
{
public:
    CallHandler(GatewayThread &thread, HttpExchange &exchange);
    ~CallHandler();
    CallHandler(const CallHandler &) = delete;
    CallHandler &operator=(const CallHandler &) = delete;

    Task<> run();

    /// Gives the call up, because the process is about to be killed, and answers the caller as far as that is possible.
    void endEarly();

    /// The route of the call, once the call has started.
    const Route &route() const;
    SteadyTime startedAt() const;

private:
    /// Finds the route, organisation, service and deadline of the call. Returns why the call is refused, if it is.
    std::optional<Problem> resolveCall();
    Task<> sendToServers();
    /// When a call that no server can take should come back.
    Milliseconds retryAfter(ChoiceReason reason);
    Milliseconds usualRetryAfter(ChoiceReason reason) const;
    std::optional<StreamAdmission> streamAdmission() const;
    std::optional<PromptReuse> promptReuse() const;
    Task<AttemptEnd> runAttempt(const ServerChoice &choice);
    /// Waits for attempts that continue the stream of one that has ended. Returns how the last one ended that could
    /// deliver.
    Task<AttemptEnd> finishContinuations(AttemptEnd end);
    /// Gives up the place that is kept for the call. It is still free when the call chooses a server without waiting.
    void releaseReservedPlace();
    void cancelAttempts(std::string_view cause);
    bool decideRetry(AttemptEnd end);
    RetryVerdict retryVerdict(SteadyTime now);
    /// The refusal of a call whose prompt has a blocked part; nothing if it has none.
    std::optional<Problem> blockedProblem();
    Task<> answerWithoutServer(const ServerChoice &choice);
    Task<> answerFailure();
    Task<> refuse(Problem problem);
    /// Logs and counts a call that arrives while the process drains.
    void recordArrivalWhileDraining();
    void recordOutcome(std::string_view outcome);
    /// The time after which a server takes calls again if all servers have stated that they want none, else the usual
    /// one.
    Milliseconds timeUntilServed(Milliseconds usual) const;
    Milliseconds remainingTime() const;

    GatewayThread &m_thread;
    HttpExchange &m_exchange;
    CallState m_state;
    /// The attempt that delivers.
    Attempt *m_currentAttempt = nullptr;
    StreamContinuation m_continuation;
};

} // namespace Cardamomhill
