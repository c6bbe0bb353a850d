#pragma once

#include "core/clocktypes.h"
#include "core/random.h"

namespace Cardamomhill
{

/// Exponential back-off with jitter: each delay is drawn uniformly between half the current step and the whole step,
/// and the step doubles up to the maximum delay. The jitter keeps clients that failed together from retrying together.
class Backoff
{
public:
    Backoff(Milliseconds firstDelay, Milliseconds maxDelay);

    /// The delay before the next attempt.
    Microseconds next(Random &random);

    /// Returns to the first delay after a success.
    void reset();

private:
    Milliseconds m_firstDelay;
    Milliseconds m_maxDelay;
    Milliseconds m_step;
};

} // namespace Cardamomhill
