#include "gateway/attemptrecord.h"

#include "core/joinwithcommas.h"
#include "gateway/attempt.h"
#include "gateway/callstate.h"
#include "gateway/gatewaythread.h"
#include "logging/logging.h"
#include "net/steadynow.h"
#include "traffic/serverchoice.h"

namespace Cardamomhill
{

namespace
{

Milliseconds elapsedSince(SteadyTime start)
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - start);
}

} // namespace

void recordAttemptBegin(GatewayThread &thread, CallState &state, const ServerChoice &choice)
{
    logEvent(LogLevel::Info,
             "routed",
             {{"request", state.head.id},
              {"route", state.route->name},
              {"configuration", state.configuration->version()},
              {"service", state.query.service.value()},
              {"server", choice.server.value()},
              {"reason", nameOf(choice.reason)},
              {"load", choice.load},
              {"candidates", choice.candidates},
              {"attempt", state.query.tried.size() + 1},
              {"left_ms", state.remainingTime(steadyNow()).count()},
              {"after_event", state.lastEventId},
              {"elapsed_ms", elapsedSince(state.startedAt).count()}});
    state.query.tried.push_back(choice.server);
    thread.servers().recordCallStarted(choice.server);
}

void recordAttemptEnd(GatewayThread &thread, CallState &state, const Attempt &attempt, AttemptEnd end)
{
    thread.servers().recordCallEnded(attempt.server(), end, steadyNow());
    state.attempts.add(end);
    if (end == AttemptEnd::Delivered) {
        return;
    }
    logEvent(LogLevel::Info,
             "attempt-ended",
             {{"request", state.head.id},
              {"server", attempt.server().value()},
              {"end", nameOf(end)},
              {"cause", attempt.cause()},
              {"prompt", joinWithCommas(state.head.sharedPromptParts, &PromptPart::id)},
              {"events", state.eventCount},
              {"elapsed_ms", elapsedSince(state.startedAt).count()}});
}

} // namespace Cardamomhill
