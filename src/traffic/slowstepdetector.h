#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

/// Constants of SlowStepDetector.
struct SlowStepDetectorOptions {
    /// A step is slow if it takes more than this many times the mean duration.
    double slowFactor = 1.3;
    /// Consecutive slow steps after which a change is reported. More than one, since a long prompt makes a single step
    /// slow.
    std::uint32_t consecutiveSlowSteps = 2;
    /// Weight of the newest step in the moving average of the duration.
    double smoothingFactor = 0.06;
    /// Arrivals within this fraction of the mean duration belong to the same step.
    double sameStepFraction = 0.4;
    /// A gap of more than this many times the mean duration is a pause between calls, not a step.
    double pauseFactor = 4;
    /// Steps that are needed before the mean duration is used.
    std::uint32_t warmUpSteps = 8;
};

/// Detects that the steps of a lock-step group have become slower, from the times at which data arrives from its ranks.
class SlowStepDetector
{
public:
    explicit SlowStepDetector(SlowStepDetectorOptions options = {});

    /// Records that data arrived from a rank. Returns whether steps have just become slow.
    bool recordArrival(SteadyTime now);

    /// Number of steps so far, without pauses between calls.
    std::uint32_t stepCount() const;

    /// Duration of the last step.
    Microseconds lastDuration() const;

    /// The moving average of the step duration; 0 before enough steps were seen.
    Microseconds meanDuration() const;

    /// Duration of the current step so far or of the last one, whichever is longer. 0 if no steps are made.
    Microseconds currentDuration(SteadyTime now) const;

private:
    bool isWarmedUp() const;
    /// Whether a gap between arrivals is a pause between calls, not a step.
    bool isPause(Microseconds gap) const;

    SlowStepDetectorOptions m_options;
    SteadyTime m_lastStepAt{};
    Microseconds m_lastDuration{0};
    double m_meanMicroseconds = 0;
    std::uint32_t m_steps = 0;
    std::uint32_t m_consecutiveSlow = 0;
};

} // namespace Cardamomhill
