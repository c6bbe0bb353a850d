#include "traffic/groupselection.h"

#include <algorithm>
#include <random>

namespace Cardamomhill
{

GroupSelection::GroupSelection(Milliseconds pauseObjective)
    : m_objective(pauseObjective)
{
}

bool GroupSelection::isSlow(Microseconds step) const
{
    return m_objective > Microseconds(0) && step > m_objective;
}

GroupId GroupSelection::select(const std::vector<GroupCandidate> &candidates, Random &random) const
{
    const bool isAnySlow = std::any_of(
        candidates.begin(), candidates.end(), [this](const auto &candidate) { return isSlow(candidate.step); });
    const bool isAnyWithin = std::any_of(
        candidates.begin(), candidates.end(), [this](const auto &candidate) { return isWithin(candidate); });
    if (!isAnySlow || !isAnyWithin) {
        return {};
    }
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        weights.push_back(weightOf(candidate));
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return candidates[distribution(random)].group;
}

bool GroupSelection::isWithin(const GroupCandidate &candidate) const
{
    // A group that has calls and makes no steps may have stopped.
    return candidate.room > 0 && (candidate.step > Microseconds(0) ? !isSlow(candidate.step) : !candidate.hasCalls);
}

double GroupSelection::weightOf(const GroupCandidate &candidate) const
{
    if (!isSlow(candidate.step)) {
        return candidate.room;
    }
    // Streams take longer by the same factor. With a weight by its first power the group would keep as many of them and
    // stay as slow.
    const double speed = static_cast<double>(m_objective.count()) / static_cast<double>(candidate.step.count());
    return candidate.room * speed * speed;
}

} // namespace Cardamomhill
