#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// When a part of the system was last disturbed. Bounds in time hold for parts that were calm for a while.
class Calmness
{
public:
    /// Time without faults after which a part counts as calm.
    static constexpr Milliseconds StableWindow{3000};

    void disturb(SteadyTime until);
    /// Whether no fault lay in the stable window before the given time or after it.
    bool isCalmSince(SteadyTime since) const;

private:
    SteadyTime m_disturbedUntil{};
};

} // namespace Cardamomhill
