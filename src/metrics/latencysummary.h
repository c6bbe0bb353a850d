#pragma once

#include "core/clocktypes.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Cardamomhill
{

/// Count, sum and estimated quantiles of a latency, in constant memory.
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();

    /// Any thread may record.
    void record(Microseconds latency);

    struct Quantile {
        double probability = 0.0;
        double seconds = 0.0;
    };

    struct Values {
        std::uint64_t count = 0;
        double sumSeconds = 0.0;
        std::vector<Quantile> quantiles;
    };

    Values values() const;

private:
    struct Accumulator;

    std::unique_ptr<Accumulator> m_accumulator;
};

} // namespace Cardamomhill
