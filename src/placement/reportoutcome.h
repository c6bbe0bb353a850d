#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// How the estimator used a report.
enum class ReportOutcome : std::uint8_t {
    /// It gave a new rate.
    Counted,
    /// First report of an incarnation, or a counter decreased: a new baseline, without a rate.
    Restarted,
    /// Not newer than the last report; ignored.
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
