#pragma once

#include <cstddef>

namespace Cardamomhill
{

/// The sums of some observed times.
struct ObservedTimes {
    std::size_t count = 0;
    double sumMs = 0;
    double sumSquares = 0;

    void add(double milliseconds)
    {
        ++count;
        sumMs += milliseconds;
        sumSquares += milliseconds * milliseconds;
    }

    ObservedTimes &operator+=(const ObservedTimes &other)
    {
        count += other.count;
        sumMs += other.sumMs;
        sumSquares += other.sumSquares;
        return *this;
    }

    /// 0 without any time.
    double meanMs() const
    {
        return count == 0 ? 0 : sumMs / static_cast<double>(count);
    }
};

} // namespace Cardamomhill
