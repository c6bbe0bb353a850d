#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// Parameters of LoadEstimator.
struct LoadEstimatorOptions {
    /// Time constant of the fast average, which follows changes.
    Seconds fastTimeConstant{10};
    /// Time constant of the slow average, which suppresses noise. With 300 s its error is stable after ten minutes.
    Seconds slowTimeConstant{300};
    /// Correlation time of bursts that count as noise.
    Seconds burstCorrelationTime{60};
    /// The estimate is the slow average until the fast one differs from it by this many standard deviations...
    double blendStartDeviations = 5;
    /// ...and the fast one from this many on. In between it is interpolated.
    double blendEndDeviations = 10;
    /// Lower limit of the relative standard deviation, so that a slow drift of a load without noise does not count as a
    /// change.
    double minimumNoise = 0.05;
    /// A change of an expert's load resets the expected duration only if it exceeds this fraction of a rank's mean
    /// load.
    double significantChangeFraction = 0.2;
    /// The last rate of a rank is used for this long after its last report.
    Seconds rateLifetime{120};
    /// Limits of the expected duration of a load.
    Seconds minimumExpectedDuration{60};
    Seconds maximumExpectedDuration{600};
};

} // namespace Cardamomhill
