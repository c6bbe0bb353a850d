#pragma once

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

struct EngineProfile;

/// Estimates the time until an engine sends the first event of a call, from the profile of the engines.
///
/// A call waits for a slot if all are in use, then for the end of the current step, in which other calls get an event;
/// its prompt is read, except what the engine holds of it; and its first event is made in a step that is the slower the
/// more calls run.
struct FirstEventEstimate {
    double slots = 0;
    /// Time for a step without calls, and its increase for each call.
    double stepMs = 0;
    double stepMsPerCall = 0;
    /// Mean number of steps with an event in one answer.
    double stepsPerAnswer = 0;
    double readMsPerToken = 0;
    /// For a million pairs of a token that is read and any token before it.
    double readMsPerMillionPairs = 0;
    /// Capacity of the key-value cache of an engine.
    std::uint64_t capacityTokens = 0;
    std::uint64_t meanPromptTokens = 0;
    std::uint64_t meanAnswerTokens = 0;

    /// Never decreases with the calls per slot, so that servers which hold the same part of a prompt are ordered as by
    /// their calls per slot, if those decide between equal times.
    /// @param callsPerSlot with this call
    /// @param tokens of the prompt
    /// @param heldTokens how many of these the engine holds
    double milliseconds(double callsPerSlot, std::uint64_t tokens, std::uint64_t heldTokens) const;

    /// The part of milliseconds() that depends on the load of the engine.
    double waitMs(double callsPerSlot) const;
    /// Increase of waitMs() for one more running call.
    double runningCallMs() const;
    /// The part that depends on the prompt.
    double readMs(std::uint64_t tokens, std::uint64_t heldTokens) const;
};

/// Nothing if the profile is incomplete. One in which a running call costs nothing counts as incomplete: the least held
/// token would outweigh any number of running calls.
std::optional<FirstEventEstimate> firstEventEstimateFor(const EngineProfile &engine);

} // namespace Cardamomhill
