#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// Records when a part of the system last had a fault. Time limits are checked only for parts that are stable.
class StabilityTracker
{
public:
    /// Time without faults after which a part counts as stable.
    static constexpr Milliseconds StableWindow{3000};

    /// Marks the part as unstable until the given time.
    void markUnstable(SteadyTime until);
    /// Whether no fault lasted into the StableWindow before the given time, or came after it.
    bool isStableSince(SteadyTime since) const;

private:
    SteadyTime m_unstableUntil{};
};

} // namespace Cardamomhill
