#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/groupcandidate.h"

#include <vector>

namespace Cardamomhill
{

/// Selects between the lock-step groups of a service for a new stream.
///
/// Answers uneven demand: all ranks of a group make steps together, so where one group makes slow steps every stream
/// there is late, however few calls its least loaded rank has.
class GroupSelection
{
public:
    /// @param pauseObjective the pause between two events that callers accept
    explicit GroupSelection(Milliseconds pauseObjective);

    /// Whether steps of this duration, 0 if unknown, are longer than the objective.
    bool isSlow(Microseconds step) const;

    /// Selects one group at random by its room. A slow one gets the less the slower it is. Empty if the groups do not
    /// differ: none is slow, or none is known to be within the objective.
    GroupId select(const std::vector<GroupCandidate> &candidates, Random &random) const;

private:
    bool isWithin(const GroupCandidate &candidate) const;
    double weightOf(const GroupCandidate &candidate) const;

    Microseconds m_objective;
};

} // namespace Cardamomhill
