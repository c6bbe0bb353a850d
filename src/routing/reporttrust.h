#pragma once

#include "core/clocktypes.h"
#include "routing/reportsource.h"

#include <array>
#include <cstddef>

namespace Cardamomhill::internal
{

/// Learns how far load reports can be trusted, by their source and age. When a reply brings the load of a server, the
/// report that was known before is compared with it: the weight of such reports is the regression coefficient of the
/// actual deviation from the mean on the reported one. Lags of reports and the duration of requests are not known, and
/// reports that lag by more than a request takes make all entry hosts choose the same servers.
class ReportTrust
{
public:
    /// @param reported deviation from the mean load that the old report, of the given age, stated.
    /// @param actual deviation that a reply has just shown.
    void learn(ReportSource source, Microseconds age, double reported, double actual);

    /// Between 0 (no information) and 1.
    double weight(ReportSource source, Microseconds age) const;

private:
    static constexpr std::size_t AGE_CLASSES = 8;
    /// Sum of squares that the initial trust of 1 counts for: a few reports that differ from the mean by 2 requests.
    static constexpr double PRIOR = 20;

    struct Cell {
        double products = PRIOR;
        double squares = PRIOR;
    };

    static std::size_t ageClass(Microseconds age);

    std::array<std::array<Cell, AGE_CLASSES>, REPORT_SOURCES> m_cells;
};

} // namespace Cardamomhill::internal
