#include "gateway/attemptrecord.h"

#include "core/joinwithcommas.h"
#include "gateway/attempt.h"
#include "gateway/callstate.h"
#include "gateway/gatewaythread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
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

/// Records what the server of a new attempt holds of the prompt, and that it will hold all of it.
void recordPrompt(GatewayThread &thread, CallState &state, const ServerChoice &choice)
{
    const auto &reuse = state.query.promptReuse;
    if (!reuse) {
        return;
    }
    auto &metrics = thread.metrics();
    if (choice.reason == ChoiceReason::HoldsPrompt) {
        metrics.counter("choices_by_prompt_total").add();
    }
    metrics.counter("prompt_tokens_held_total").add(choice.heldTokens);
    metrics.counter("prompt_tokens_read_total").add(reuse->prompt.tokens - choice.heldTokens);
    const auto ticket = thread.servers().recordPromptStarted(choice.server, *reuse, steadyNow());
    state.promptTickets.insert_or_assign(choice.server, ticket);
}

/// Counts choices that differ from those by load alone.
void recordUnevenness(GatewayThread &thread, const ServerChoice &choice)
{
    if (choice.expectedMs > 0) {
        thread.metrics().counter("choices_by_estimate_total").add();
    }
    if (choice.reason == ChoiceReason::SoonestResponse) {
        thread.metrics().counter("choices_of_soonest_response_total").add();
    }
    if (choice.isGroupSelected) {
        thread.metrics().counter("choices_between_groups_total").add();
    }
}

/// Whether an attempt may have met a service that has stopped. One that its server refuses soon after it was sent met a
/// full one, one whose time is over soon had a short limit, and one that this host cancelled says nothing.
bool isSignOfOutage(const Attempt &attempt, AttemptEnd end)
{
    /// Groups hold calls for longer than this when they have lost a rank.
    constexpr Milliseconds MinStall{500};
    switch (end) {
    case AttemptEnd::NotSent:
    case AttemptEnd::Broken:
        return !attempt.isCancelled();
    case AttemptEnd::TimedOut:
    case AttemptEnd::NotRun:
        return !attempt.isCancelled() && elapsedSince(attempt.begunAt()) >= MinStall;
    default:
        return false;
    }
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
              {"held_tokens", choice.heldTokens},
              {"expected_ms", choice.expectedMs},
              {"elapsed_ms", elapsedSince(state.startedAt).count()},
              {"urgency", state.urgency ? state.urgency->admissionRank() : 0}});
    state.query.tried.push_back(choice.server);
    recordPrompt(thread, state, choice);
    recordUnevenness(thread, choice);
    thread.servers().recordCallStarted(choice.server);
    recordColdSkipped(thread, choice);
}

void recordColdSkipped(GatewayThread &thread, const ServerChoice &choice)
{
    if (choice.skippedCold > 0) {
        thread.metrics().counter("choices_past_cold_servers_total").add();
    }
}

void recordAttemptEnd(GatewayThread &thread, CallState &state, const Attempt &attempt, AttemptEnd end)
{
    thread.servers().recordCallEnded(attempt.server(), end, steadyNow());
    if (const auto ticket = state.promptTickets.extract(attempt.server())) {
        thread.servers().recordPromptEnded(ticket.mapped(), end);
    }
    // Each call counts once, however many servers it was sent to.
    const bool isFirst = state.attempts.count() == 0;
    state.attempts.add(end);
    if (state.query.admission && isFirst && isSignOfOutage(attempt, end)) {
        thread.serviceOutage(state.query.service).recordFailure(steadyNow());
    }
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
