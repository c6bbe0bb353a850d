#pragma once

#include "core/identifiers.h"
#include "entry/answerrelay.h"
#include "entry/attemptevent.h"
#include "entry/callerrequest.h"
#include "entry/problem.h"
#include "net/asio.h"
#include "routing/attemptlog.h"
#include "routing/routingerror.h"

#include <memory>
#include <optional>
#include <vector>

namespace Cardamomhill
{

class AgentLink;
class AttemptChannel;
class HttpExchange;
class TrafficThread;

/// Handles one request of a caller: checks it, chooses backend servers, relays the answer, and retries failed attempts
/// where a retry is safe.
class RequestHandler
{
public:
    RequestHandler(TrafficThread &thread, HttpExchange &exchange);

    Task<> run();

    /// Ends the request shortly before the process is killed, so that its caller gets an answer or a broken stream.
    void endEarly();

private:
    /// What to do after an attempt.
    enum class NextStep { Stop, Retry };

    /// How the relay of one attempt ended; `failure` is set if the attempt itself failed.
    struct RelayedAttempt {
        RelayEnd end;
        std::optional<AttemptEvent> failure;
    };

    Task<> serveAdmitted();
    Task<> issueKey();
    std::optional<Problem> findSlotOwner();
    /// The refusal of a request that is not likely to end before the process is killed, or nothing.
    std::optional<Problem> checkTimeLeft() const;
    void recordArrivalWhileDraining();
    Task<NextStep> attempt();
    Task<RelayedAttempt> relayAttempt(std::shared_ptr<AgentLink> link);
    Task<> finishWithoutFailure(RelayEnd end);
    Task<NextStep> handleFailure(const AttemptEvent &failure, bool answerStarted);
    Task<> reportNotRouted(const RoutingError &error);
    Task<> reportFailure(const AttemptEvent &failure);
    Task<> refuse(Problem problem);
    void finish(std::string_view outcome);

    TrafficThread &m_thread;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    SteadyTime m_startedAt;
    std::optional<BackendServerId> m_slotOwner;
    std::vector<BackendServerId> m_tried;
    AttemptLog m_attempts;
    /// The channel of the current attempt, or null.
    std::shared_ptr<AttemptChannel> m_channel;
    bool m_isEndedEarly = false;
};

} // namespace Cardamomhill
