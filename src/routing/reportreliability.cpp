#include "routing/reportreliability.h"

#include <algorithm>

namespace Cardamomhill::internal
{

namespace
{

/// Upper end of the first age class; each further class ends at twice the age.
constexpr Microseconds FIRST_AGE_CLASS_END = Milliseconds(125);
/// Factor applied to the sums at each observation, so that about the last 200 determine them.
constexpr double DECAY = 1 - 1.0 / 200;

} // namespace

std::size_t ReportReliability::ageClass(Microseconds age)
{
    std::size_t number = 0;
    for (Microseconds end = FIRST_AGE_CLASS_END; age >= end && number + 1 < AGE_CLASS_COUNT; end *= 2) {
        ++number;
    }
    return number;
}

void ReportReliability::observe(ReportSource source, Microseconds age, double reported, double actual)
{
    Cell &cell = m_cells[static_cast<std::size_t>(source)][ageClass(age)];
    cell.products = cell.products * DECAY + reported * actual;
    cell.squares = cell.squares * DECAY + reported * reported;
}

double ReportReliability::weight(ReportSource source, Microseconds age) const
{
    const Cell &cell = m_cells[static_cast<std::size_t>(source)][ageClass(age)];
    // Below this the observations have decayed, and the report gets its full weight again.
    constexpr double NO_EVIDENCE = 1e-6;
    return cell.squares < NO_EVIDENCE ? 1 : std::clamp(cell.products / cell.squares, 0.0, 1.0);
}

} // namespace Cardamomhill::internal
