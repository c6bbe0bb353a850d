#pragma once

#include "core/clocktypes.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Counts events in a window of time that ends now, with bounded memory. Events are counted by slot, so the number
/// within the window is known only between two bounds.
class SlidingCount
{
public:
    explicit SlidingCount(Microseconds window);

    void add(SteadyTime now);

    /// At most the number of events in the window.
    std::uint64_t lowerBound(SteadyTime now) const;
    /// At least the number of events in the window.
    std::uint64_t upperBound(SteadyTime now) const;

private:
    static constexpr std::size_t SlotsPerWindow = 20;

    struct Slot {
        std::int64_t index = -1;
        std::uint64_t count = 0;
    };

    std::int64_t indexAt(SteadyTime time) const;
    /// Events in the current slot and those before it, `slots` in all.
    std::uint64_t countIn(std::size_t slots, SteadyTime now) const;

    Microseconds m_slotTime;
    /// One more than the window has, since the window may begin in the middle of a slot.
    std::array<Slot, SlotsPerWindow + 1> m_slots;
};

} // namespace Cardamomhill
