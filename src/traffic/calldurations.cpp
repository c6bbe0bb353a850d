#include "traffic/calldurations.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// One in this many calls may take longer than usual.
constexpr std::size_t CallsPerOutlier = 10;

} // namespace

void CallDurations::record(Microseconds duration, End end)
{
    if (end == End::Unfinished && duration <= usual().value_or(Microseconds::max())) {
        return;
    }
    m_latest[m_count++ % windowSize] = duration;
}

std::optional<Microseconds> CallDurations::usual() const
{
    const auto size = std::min(m_count, windowSize);
    if (size == 0) {
        return std::nullopt;
    }
    auto sorted = m_latest;
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(size - 1 - size / CallsPerOutlier);
    std::nth_element(sorted.begin(), position, sorted.begin() + static_cast<std::ptrdiff_t>(size));
    return *position;
}

} // namespace Cardamomhill
