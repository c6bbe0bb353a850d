#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// How long one rank takes to answer orders: a smoothed mean and deviation, as RFC 6298 estimates round-trip times.
class AnswerTime
{
public:
    /// Records the time that an answer took.
    void record(Microseconds time);

    /// Time after which an order without an answer is probably lost, and is sent again.
    Microseconds resendAfter() const;

    /// Time within which nearly all answers came; 0 before the first one.
    Microseconds usual() const;

private:
    Microseconds m_mean{0};
    Microseconds m_deviation{0};
    bool m_isKnown = false;
};

} // namespace Cardamomhill
