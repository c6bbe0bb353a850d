#pragma once

#include "core/clocktypes.h"

#include <array>
#include <cstddef>

namespace Cardamomhill
{

struct StepTimeModel;

/// Constants of ConcurrencyLimit.
struct ConcurrencyLimitOptions {
    /// Steps that are older are forgotten. Spans two shifts of the popular experts, each of which makes steps slow
    /// until the next map is in force.
    Milliseconds window{5000};
    /// Fraction of the steps of the window that keep the objective. An answer has some 25 steps, and one that is too
    /// long makes it late. A limit by the slowest single steps would refuse calls on calm days.
    double keptFraction = 0.95;
    /// The limit never goes below this fraction of the slots: with few streams a single long prompt decides how long a
    /// step takes, so a lower limit would only cost throughput.
    double minSlotsFraction = 0.45;
    /// If most steps would be too long even with this fraction of the slots, nothing helps the pauses: the engines may
    /// use all slots, since answers that are late in any case are worth more than none. A rank that has turned slow is
    /// such a case.
    double hopelessSlotsFraction = 0.3;
    /// Steps that are needed before the limit is below the slots.
    std::size_t minSteps = 12;
};

/// Finds how many streams the engines of a lock-step group may run each, such that the pauses between their events stay
/// within their objective.
///
/// Answers overload: a group that runs as many streams as it has slots takes longer for each step than callers accept,
/// so that all its answers are late, and a backlog once built up keeps it there. What each stream adds to a step, the
/// reading of prompts and uneven experts included, is learned from the latest steps, those after shifts of the popular
/// experts too: a stream lasts long enough to meet one.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    /// Records a step of the group.
    /// @param streams mean number of streams that its engines ran
    void recordStep(Microseconds duration, double streams, SteadyTime now);

    /// Streams that each engine may run; `slots` while too few steps are known.
    double
    streamsPerEngine(const StepTimeModel &model, Milliseconds pauseObjective, double slots, SteadyTime now) const;

private:
    struct Step {
        Microseconds duration{0};
        double streams = 0;
        SteadyTime endedAt{};
    };
    static constexpr std::size_t MaxSteps = 96;

    ConcurrencyLimitOptions m_options;
    std::array<Step, MaxSteps> m_steps{};
    std::size_t m_count = 0;
};

} // namespace Cardamomhill
