#pragma once

#include "core/clocktypes.h"

#include <cstddef>

namespace Cardamomhill
{

/// Limits on the bodies of all requests of a server together.
struct BodyBudgetLimits {
    std::size_t totalBytes = 0;
    /// The part of the total that only small bodies may use, so that large ones can't crowd them out.
    std::size_t smallReserveBytes = 0;
    /// Largest size of a small body.
    std::size_t smallBodyBytes = 0;
    /// A body without progress for this long may be dropped when another one needs its memory.
    Milliseconds idleTime{0};
    /// Bytes with which a body has made progress. Fewer don't count, or a caller could hold memory with a byte at a
    /// time.
    std::size_t progressBytes = 1;
};

} // namespace Cardamomhill
