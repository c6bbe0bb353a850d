#include "rebalance/countschedule.h"

#include <algorithm>

namespace Cardamomhill
{

CountSchedule::CountSchedule(CountScheduleOptions options)
    : m_options(options)
{
}

void CountSchedule::clear()
{
    *this = CountSchedule(m_options);
}

void CountSchedule::stepsTurnedSlow()
{
    m_hasTurnedSlow = true;
}

CountReading CountSchedule::due(SteadyTime now, double pressure) const
{
    if (m_windowEndsAt) {
        return now >= *m_windowEndsAt ? CountReading::WindowEnd : CountReading::None;
    }
    // A group that has little to do answers in time with slow steps too.
    if (m_hasTurnedSlow && pressure > 0 && now >= m_startAllowedAt) {
        return CountReading::WindowStart;
    }
    return now >= m_regularAt ? CountReading::Regular : CountReading::None;
}

void CountSchedule::done(CountReading reading, SteadyTime now, double pressure)
{
    if (reading == CountReading::WindowStart) {
        m_hasTurnedSlow = false;
        m_windowEndsAt = now + m_options.window;
        return;
    }
    if (reading == CountReading::WindowEnd) {
        m_windowEndsAt.reset();
        m_startAllowedAt = now + m_options.windowRest;
    }
    const auto idle = static_cast<double>(m_options.idleInterval.count());
    const auto busy = static_cast<double>(m_options.busyInterval.count());
    const Milliseconds interval(static_cast<Milliseconds::rep>(idle + (busy - idle) * pressure));
    // The first reading says nothing by itself.
    m_regularAt = now + (m_hasReading ? interval : std::min(interval, m_options.busyInterval / 2));
    m_hasReading = true;
}

} // namespace Cardamomhill
