#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct LoadEstimatorOptions {
    /// Time constant of the average that follows changes.
    Seconds fastTime{60};
    /// Time constant of the average that suppresses noise. At 600 s, bursts that last 45 s leave a quarter of their
    /// spread in the estimate.
    Seconds slowTime{600};
    /// The estimate starts to leave the slow average when the fast one differs by this many standard deviations...
    double followFrom = 3;
    /// ...and equals the fast one from here on.
    double followFully = 6;
    /// Lower limit of the relative standard deviation, so that a load without noise does not make each slow drift
    /// look like a change.
    double minimumNoise = 0.05;
    /// A followed change restarts the clock of the expected duration only when it shifts this part of the mean load of
    /// a rank.
    double changeShare = 0.1;
    /// A rank that is silent for longer no longer counts with its last rate.
    Seconds rateLifetime{120};
    Seconds minimumDuration{60};
    Seconds maximumDuration{1800};
};

} // namespace Cardamomhill
