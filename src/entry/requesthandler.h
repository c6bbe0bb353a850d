#pragma once

#include "core/identifiers.h"
#include "entry/attemptevent.h"
#include "entry/callerrequest.h"
#include "net/asio.h"

#include <optional>
#include <set>

namespace Cardamomhill
{

class HttpExchange;
class TrafficThread;

/// Serves one request of a caller: checks it, chooses backend servers, relays the answer, retries what may be retried.
class RequestHandler
{
public:
    RequestHandler(TrafficThread &thread, HttpExchange &exchange);

    Task<> run();

private:
    enum class Next { Stop, Retry };

    Task<> serve();
    Task<Next> attempt();
    Task<Next> afterFailure(const AttemptEvent &failure);
    Task<> answerFailure(const std::optional<AttemptEvent> &failure);
    void finish(std::string_view outcome);

    TrafficThread &m_thread;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    SteadyTime m_startedAt;
    std::set<BackendServerId> m_tried;
    /// Some attempt may have been executed without a known answer.
    bool m_mayHaveRun = false;
};

} // namespace Cardamomhill
