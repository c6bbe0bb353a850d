#include "traffic/calldurations.h"

#include <algorithm>

namespace Cardamomhill
{

void CallDurations::record(Microseconds duration, End end, SteadyTime now)
{
    if (end == End::Unfinished && duration <= longest().value_or(Microseconds::max())) {
        return;
    }
    if (m_count == 0) {
        m_knownSince = now - duration;
    }
    auto &blockLongest = m_longest[m_count / blockSize % blockCount];
    const bool isFirstOfBlock = m_count % blockSize == 0;
    blockLongest = isFirstOfBlock ? duration : std::max(blockLongest, duration);
    ++m_count;
}

std::optional<Microseconds> CallDurations::longest() const
{
    return m_count == 0 ? std::nullopt : std::optional(*std::max_element(m_longest.begin(), m_longest.end()));
}

std::optional<Microseconds>
CallDurations::expected(Microseconds limit, Microseconds oldestRunning, SteadyTime now) const
{
    if (m_count < minCount || now - m_knownSince < limit * minKnownLimits) {
        return std::nullopt;
    }
    return std::max(*longest(), oldestRunning) * marginNumerator / marginDenominator;
}

} // namespace Cardamomhill
