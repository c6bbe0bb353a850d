#pragma once

#include "core/clocktypes.h"
#include "drain/calladmission.h"
#include "net/httpexchange.h"
#include "traffic/attempthistory.h"
#include "traffic/callhead.h"
#include "traffic/deliveryturn.h"
#include "traffic/promptresidency.h"
#include "traffic/serverquery.h"
#include "traffic/trafficconfiguration.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

class StreamContinuation;

/// A server's error answer, which is delivered if no later attempt has a better one.
struct FallbackAnswer {
    unsigned status = 0;
    HttpHeaders headers;
    std::string body;
};

/// The state of a call while it is served, shared by its attempts.
struct CallState {
    CallHead head;
    HttpRequest::header_type requestHead;
    /// Shared by all attempts, since a copy for each would take as much memory again.
    std::string body;
    /// Owns the route, which must outlive a change of the configuration.
    std::shared_ptr<const TrafficConfiguration> configuration;
    const Route *route = nullptr;
    /// The service, the servers that were tried, and the limit of the queues in which a new stream may wait.
    ServerQuery query;
    /// What ServerTable knows the prompt by at each server that an attempt runs at.
    std::unordered_map<BackendServerId, PromptResidency::Ticket> promptTickets;
    OrganisationId organisation;
    /// Nothing if all routes of the service are equally urgent.
    std::optional<Urgency> urgency;
    SteadyTime startedAt{};
    SteadyTime deadline{};
    /// Why the call was begun although the process may have been stopping.
    CallAdmission admission;
    AttemptHistory attempts;
    /// Which attempt delivers.
    DeliveryTurn turn;
    /// Runs an attempt beside one whose stream is silent. Never null while an attempt runs.
    StreamContinuation *continuation = nullptr;
    /// The retry budget was charged when the current attempt was cancelled for a retry.
    bool isRetryReserved = false;
    /// The server at which a place is kept for the call, whose current attempt was cancelled for it; empty if none is.
    BackendServerId reservedServer;
    std::optional<FallbackAnswer> fallbackAnswer;
    /// Id of the last event that was delivered; at first the one that the caller resumes after.
    std::string lastEventId;
    /// Whether the last event that was delivered has an id; true before the first one.
    bool canResumeAfterLastEvent = true;
    std::optional<SteadyTime> firstByteAt;
    SteadyTime lastEventAt{};
    /// The longest time between two consecutive events when they were relayed.
    Microseconds longestEventPause{0};
    std::size_t eventCount = 0;
    bool hasAnswerBegun = false;
    /// Media type of the answer that has begun.
    std::string mediaType;
    bool isCallerGone = false;
    /// The last attempt broke when a server had already crashed under a part of the prompt.
    bool isPromptSuspected = false;
    /// The process ends before the call does.
    bool isEndedEarly = false;

    /// Whether the caller has come back after a refusal: it states less time than a caller that comes for the first
    /// time.
    bool isReturning() const
    {
        constexpr double ReturningFraction = 0.9;
        return head.remainingTime && *head.remainingTime < ReturningFraction * route->timeout;
    }

    /// Whether another server could continue what was delivered of the answer: nothing, or events of which the last has
    /// an id.
    bool isResumable() const
    {
        return !hasAnswerBegun || (route->kind == CallKind::Stream && canResumeAfterLastEvent);
    }

    /// Time since the last event of the answer, or since the arrival of the call if there was none.
    Milliseconds silence(SteadyTime now) const
    {
        return std::chrono::duration_cast<Milliseconds>(now - std::max(startedAt, lastEventAt));
    }

    /// Time until the call's deadline; never negative.
    Milliseconds remainingTime(SteadyTime now) const
    {
        return std::max(std::chrono::duration_cast<Milliseconds>(deadline - now), Milliseconds(0));
    }
};

} // namespace Cardamomhill
