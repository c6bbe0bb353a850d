#pragma once

#include <cstddef>

namespace Cardamomhill
{

/// The size of an execution registry. A request that exceeds a limit is refused; no record is dropped to make room.
struct ExecutionLimits {
    /// 1,350 requests/s over 24 h on 4,700 backend servers are 24,817 records on each; the limit is twice that.
    std::size_t maximumRecords = 50'000;
    /// The sum over all answers. A running request reserves `maximumBytesPerAnswer`.
    std::size_t maximumTotalAnswerBytes = std::size_t{16} << 20U;
    /// A longer answer is sent to its caller but not kept for a replay.
    std::size_t maximumBytesPerAnswer = std::size_t{16} << 10U;
};

} // namespace Cardamomhill
