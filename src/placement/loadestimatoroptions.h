#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct LoadEstimatorOptions {
    /// Time constant of the average that follows changes.
    Seconds fastTime{10};
    /// Time constant of the average that suppresses noise. At 300 s its error is steady after ten minutes.
    Seconds slowTime{300};
    /// Bursts that last up to this time count as noise.
    Seconds burstTime{60};
    /// The estimate starts to leave the slow average when the fast one differs by this many standard deviations...
    double followFrom = 5;
    /// ...and equals the fast one from here on.
    double followFully = 10;
    /// Lower limit of the relative standard deviation, so that a load without noise does not make each slow drift
    /// look like a change.
    double minimumNoise = 0.05;
    /// A followed change restarts the clock of the expected duration only when it shifts this part of the mean load of
    /// a rank.
    double changeShare = 0.2;
    /// A rank that is silent for longer no longer counts with its last rate.
    Seconds rateLifetime{120};
    Seconds minimumDuration{60};
    Seconds maximumDuration{600};
};

} // namespace Cardamomhill
