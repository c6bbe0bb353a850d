#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

/// Constants of StepPace.
struct StepPaceOptions {
    /// Times the usual duration from which on a step counts as slow.
    double slowFactor = 1.3;
    /// Slow steps in a row before a change is reported. One long prompt makes one step slow.
    std::uint32_t slowSteps = 2;
    /// Weight of the newest step in the usual duration.
    double newestWeight = 0.06;
    /// Arrivals closer than this part of the usual duration belong to one step.
    double sameStepPart = 0.4;
    /// Times the usual duration after which a gap is a pause of the calls and not a step.
    double pauseFactor = 4;
    /// Steps before the usual duration is known.
    std::uint32_t learningSteps = 8;
};

/// Notices when the steps of a lock-step group turn slower than they were, from the times at which anything arrives
/// from its ranks.
class StepPace
{
public:
    explicit StepPace(StepPaceOptions options = {});

    /// Returns whether steps have just turned slow.
    bool arrived(SteadyTime now);

    /// Nothing before enough steps were seen.
    Microseconds usual() const;

private:
    bool isKnown() const;

    StepPaceOptions m_options;
    SteadyTime m_stepAt{};
    /// In microseconds.
    double m_usual = 0;
    std::uint32_t m_steps = 0;
    std::uint32_t m_slow = 0;
};

} // namespace Cardamomhill
