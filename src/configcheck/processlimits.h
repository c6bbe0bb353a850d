#pragma once

#include "routing/retrybudget.h"

#include <cstdint>

namespace Cardamomhill
{

/// Limits from the settings of a gateway that a configuration can contradict.
struct ProcessLimits {
    /// Bytes that the bodies of all requests may use together.
    std::uint64_t bodyBudgetBytes = 0;
    /// Of all hosts together, so that one host alone has the whole slack.
    RetryBudgetOptions retries;
};

} // namespace Cardamomhill
