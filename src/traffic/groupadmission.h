#pragma once

#include "traffic/steptimemodel.h"
#include "traffic/urgency.h"

#include <cstdint>

namespace Cardamomhill
{

/// Admission of a stream to a lock-step group for a service whose routes differ in urgency.
struct GroupAdmission {
    Urgency urgency;
    /// The call was sent before, so its caller waits already.
    bool isRepeated = false;
    StepTimeModel stepTime;

    std::uint32_t rank() const
    {
        return isRepeated ? 0 : urgency.admissionRank();
    }

    /// Streams that each engine may run for this one to be admitted. The most urgent may take every slot; the less
    /// urgent a stream is, the more room it leaves to the others.
    /// @param limit number of streams with which the pauses stay within their objective
    double streamsPerEngine(double limit, double slots) const
    {
        constexpr double ReservedPerRank = 0.05;
        return rank() == 0 ? slots : limit * (1 - ReservedPerRank * (rank() - 1));
    }
};

} // namespace Cardamomhill
