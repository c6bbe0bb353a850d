#include "rebalance/counterreadschedule.h"

#include <algorithm>

namespace Cardamomhill
{

CounterReadSchedule::CounterReadSchedule(CounterReadScheduleOptions options)
    : m_options(options)
{
}

void CounterReadSchedule::clear()
{
    *this = CounterReadSchedule(m_options);
}

void CounterReadSchedule::stepsSlowedDown()
{
    m_hasSlowedDown = true;
}

void CounterReadSchedule::loadShifted(SteadyTime now)
{
    m_hasSlowedDown = false;
    m_windowEndsAt = now + m_options.window;
}

CounterReading CounterReadSchedule::due(SteadyTime now, double pressure) const
{
    if (m_windowEndsAt) {
        return now >= *m_windowEndsAt ? CounterReading::WindowEnd : CounterReading::None;
    }
    // An idle group meets its deadlines with slow steps too.
    if (m_hasSlowedDown && pressure > 0 && now >= m_nextWindowAt) {
        return CounterReading::WindowStart;
    }
    return now >= m_nextRegularAt ? CounterReading::Regular : CounterReading::None;
}

void CounterReadSchedule::done(CounterReading reading, SteadyTime now, double pressure)
{
    if (reading == CounterReading::WindowStart) {
        m_hasSlowedDown = false;
        m_windowEndsAt = now + m_options.window;
        return;
    }
    if (reading == CounterReading::WindowEnd) {
        m_windowEndsAt.reset();
        m_nextWindowAt = now + m_options.windowCooldown;
    }
    const auto idle = static_cast<double>(m_options.idleInterval.count());
    const auto busy = static_cast<double>(m_options.busyInterval.count());
    const Milliseconds interval(static_cast<Milliseconds::rep>(idle + (busy - idle) * pressure));
    // The first reading is only the base of a difference, so the second one follows soon.
    m_nextRegularAt = now + (m_hasReading ? interval : std::min(interval, m_options.busyInterval / 2));
    m_hasReading = true;
}

} // namespace Cardamomhill
