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
class HttpExchange;
class TrafficThread;

/// Serves one request of a caller: checks it, chooses backend servers, relays the answer, retries what may be retried.
class RequestHandler
{
public:
    RequestHandler(TrafficThread &thread, HttpExchange &exchange);

    Task<> run();

private:
    /// What comes after an attempt.
    enum class Next { Stop, Retry };

    /// How the relay of one attempt ended; the failure is set when the attempt gave no whole answer.
    struct Relayed {
        RelayEnd end;
        std::optional<AttemptEvent> failure;
    };

    Task<> serveAdmitted();
    Task<> issueKey();
    std::optional<Problem> findSlotOwner();
    Task<Next> attempt();
    Task<Relayed> relayFrom(std::shared_ptr<AgentLink> link);
    Task<> endWithoutFailure(RelayEnd end);
    Task<Next> afterFailure(const AttemptEvent &failure, bool answerStarted);
    Task<> answerNotRouted(const RoutingError &error);
    Task<> answerFailure(const AttemptEvent &failure);
    Task<> refuse(Problem problem);
    void finish(std::string_view outcome);

    TrafficThread &m_thread;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    SteadyTime m_startedAt;
    std::optional<BackendServerId> m_slotOwner;
    std::vector<BackendServerId> m_tried;
    AttemptLog m_attempts;
};

} // namespace Cardamomhill
