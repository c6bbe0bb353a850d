#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What the estimator did with a report.
enum class ReportOutcome : std::uint8_t {
    Counted,
    /// First report of an incarnation, or counters that fell back: a new starting point without a rate.
    Restarted,
    /// Older than, or the same as, what is known already.
    Stale,
};

constexpr auto nameTable(ReportOutcome)
{
    return std::to_array<NamedValue<ReportOutcome>>({
        {ReportOutcome::Counted, "counted"},
        {ReportOutcome::Restarted, "restarted"},
        {ReportOutcome::Stale, "stale"},
    });
}

} // namespace Cardamomhill
