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

    /// Time within which an answer can be relied on: that of nearly all answers so far, with a margin that shrinks with
    /// each of the first ones.
    Microseconds reliable() const;

private:
    /// Time within which nearly all answers came.
    Microseconds usual() const;

    Microseconds m_mean{0};
    Microseconds m_deviation{0};
    Microseconds m_uncertainty = Milliseconds(150);
    bool m_isKnown = false;
};

} // namespace Cardamomhill
