#include "traffic/concurrencylimit.h"

#include "traffic/steptimemodel.h"

#include <algorithm>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// The least number of steps may reach back for so many windows.
constexpr int SlowWindowFactor = 4;

/// The value below which this fraction of the values lies. Changes their order.
double quantile(std::vector<double> &values, double fraction)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size()));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : m_options(options)
{
}

void ConcurrencyLimit::recordStep(Microseconds duration, double streams, SteadyTime now)
{
    m_steps[m_count++ % MaxSteps] = {duration, streams, now};
}

double ConcurrencyLimit::streamsPerEngine(const StepTimeModel &model,
                                          Milliseconds pauseObjective,
                                          double slots,
                                          SteadyTime now) const
{
    const auto objective = static_cast<double>(Microseconds(pauseObjective).count());
    const auto emptyStep = static_cast<double>(model.eventTime(0).count());
    std::vector<double> limits;
    limits.reserve(std::min(m_count, MaxSteps));
    for (std::size_t back = 1; back <= std::min(m_count, MaxSteps); ++back) {
        const auto &step = m_steps[(m_count - back) % MaxSteps];
        // Very slow steps are few in the window.
        const auto maxAge = limits.size() < m_options.minSteps ? SlowWindowFactor * m_options.window : m_options.window;
        if (now - step.endedAt > maxAge) {
            break;
        }
        if (step.streams > 0) {
            const double perStream = (static_cast<double>(step.duration.count()) - emptyStep) / step.streams;
            limits.push_back(perStream <= 0 ? slots : (objective - emptyStep) / perStream);
        }
    }
    if (limits.size() < m_options.minSteps) {
        return slots;
    }
    if (quantile(limits, 0.5) < m_options.hopelessSlotsFraction * slots) {
        return slots;
    }
    return std::clamp(quantile(limits, 1 - m_options.keptFraction), m_options.minSlotsFraction * slots, slots);
}

} // namespace Cardamomhill
