#pragma once

#include "core/clocktypes.h"
#include "traffic/groupadmission.h"

#include <optional>

namespace Cardamomhill
{

struct EngineProfile;
struct Route;

/// Decides by time whether a stream may be sent to an engine, now or later.
///
/// Answers the load after a burst, a restart or a shift of the popular experts: a stream is not sent to an engine whose
/// queue is so long that its caller leaves before the first event, and a stream that still has time waits while the
/// steps of the group are slow.
struct StreamAdmission {
    /// Longest time to the first event that its caller waits for, with a margin.
    Milliseconds firstEventLimit{0};
    /// Mean number of steps with an event in one answer.
    double stepsPerAnswer = 0;
    /// Objective of the route for the first event and for pauses; no pause objective if 0.
    Milliseconds latencyObjective{0};
    Milliseconds pauseObjective{0};
    /// Set if the routes of the service differ in urgency.
    std::optional<GroupAdmission> group;

    /// Number of calls in progress at an engine, with this one, up to which the first event is expected within the
    /// limit. At least the number of slots.
    /// @param step mean duration of a step of the engine; more than 0
    /// @param waited how long the caller has waited already
    double maxCalls(double slots, Microseconds step, Microseconds waited = Microseconds(0)) const;

    /// Whether the stream should wait before it is sent to a group whose current step takes this long. The ranks of a
    /// group read the prompts of new streams in the steps of all others, and when steps are slow, after a shift of the
    /// popular experts, that makes the pauses of all streams longer than their objective. A new stream has some time
    /// until its own objective, in which the group finishes others or gets a better map.
    /// @param waited since the call arrived
    bool shouldWait(Microseconds currentStep, Microseconds waited) const;

    /// Expected time from sending a stream to its first event if a slot is free.
    /// @param step mean duration of a step of the engine; 0 if not known
    Microseconds timeToFirstEvent(Microseconds step) const;
};

/// The limits for streams of a route. Nothing if the engine's profile is incomplete.
/// @param urgency nothing if all routes of the service are equally urgent
std::optional<StreamAdmission>
streamAdmissionFor(const Route &route, const EngineProfile &engine, std::optional<Urgency> urgency = {});

} // namespace Cardamomhill
