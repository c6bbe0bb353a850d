#pragma once

#include "core/clocktypes.h"
#include "routing/reportsource.h"

#include <array>
#include <cstddef>

namespace Cardamomhill::internal
{

/// Learns how reliable load reports are, by their source and age. When a reply brings the load of a server, the
/// previous report is compared with it: the weight of such reports is the regression coefficient of the actual
/// deviation from the mean on the reported one. Report delays and request durations are unknown, and reports delayed by
/// more than the duration of a request make all entry hosts choose the same servers.
class ReportReliability
{
public:
    /// @param reported deviation from the mean load in the previous report, which had the given age.
    /// @param actual deviation from the mean load in a reply that has just arrived.
    void observe(ReportSource source, Microseconds age, double reported, double actual);

    /// The weight of a report, from 0 (no information) to 1.
    double weight(ReportSource source, Microseconds age) const;

private:
    static constexpr std::size_t AGE_CLASS_COUNT = 8;
    /// Initial value of both sums, which gives a weight of 1: as much as a few reports that differ from the mean by 2
    /// requests.
    static constexpr double PRIOR = 20;

    struct Cell {
        double products = PRIOR;
        double squares = PRIOR;
    };

    static std::size_t ageClass(Microseconds age);

    std::array<std::array<Cell, AGE_CLASS_COUNT>, REPORT_SOURCE_COUNT> m_cells;
};

} // namespace Cardamomhill::internal
