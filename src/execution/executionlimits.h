#pragma once

#include <cstddef>

namespace Cardamomhill
{

/// The size of an execution registry. A request that exceeds a limit is refused; no record is dropped for room.
struct ExecutionLimits {
    /// 1,350 requests/s over 24 h on 4,700 backend servers are 24,817 records for each; this is twice as many.
    std::size_t maximumRecords = 50'000;
    /// Sum over all answers, in bytes. A running request counts with `maximumAnswerSize`.
    std::size_t maximumAnswerBytes = std::size_t{16} << 20U;
    /// A longer answer goes to its caller but is not kept for a replay, in bytes.
    std::size_t maximumAnswerSize = std::size_t{16} << 10U;
};

} // namespace Cardamomhill
