#include "routing/slidingcount.h"

#include <algorithm>

namespace Cardamomhill
{

SlidingCount::SlidingCount(Microseconds window)
    : m_slotTime(std::max(window / static_cast<Microseconds::rep>(SlotsPerWindow), Microseconds(1)))
{
}

void SlidingCount::add(SteadyTime now)
{
    const auto index = indexAt(now);
    auto &slot = m_slots[static_cast<std::size_t>(index) % m_slots.size()];
    if (slot.index != index) {
        slot = {index, 0};
    }
    ++slot.count;
}

std::uint64_t SlidingCount::lowerBound(SteadyTime now) const
{
    return countIn(SlotsPerWindow, now);
}

std::uint64_t SlidingCount::upperBound(SteadyTime now) const
{
    return countIn(SlotsPerWindow + 1, now);
}

std::int64_t SlidingCount::indexAt(SteadyTime time) const
{
    return time.time_since_epoch() / m_slotTime;
}

std::uint64_t SlidingCount::countIn(std::size_t slots, SteadyTime now) const
{
    const auto oldest = indexAt(now) - static_cast<std::int64_t>(slots) + 1;
    std::uint64_t count = 0;
    for (const auto &slot : m_slots) {
        count += slot.index >= oldest ? slot.count : 0;
    }
    return count;
}

} // namespace Cardamomhill
