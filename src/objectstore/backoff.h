#pragma once

#include "core/clocktypes.h"
#include "core/random.h"

namespace Cardamomhill
{

/// Exponential back-off: each delay is drawn evenly from half the current step to the whole one, and the step doubles
/// up to its limit. The random part keeps clients that failed together from coming back together.
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds limit);

    /// The delay before the next attempt.
    Microseconds next(Random &random);

    /// Starts again with the first step after a success.
    void reset();

private:
    Milliseconds m_first;
    Milliseconds m_limit;
    Milliseconds m_step;
};

} // namespace Cardamomhill
