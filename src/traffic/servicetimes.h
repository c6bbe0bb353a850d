#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/observedtimes.h"

#include <array>
#include <cstddef>
#include <unordered_map>

namespace Cardamomhill
{

/// The times that backend servers needed for the latest calls of this host, without the wait for a slot.
class ServiceTimes
{
public:
    void record(const BackendServerId &server, double milliseconds, SteadyTime now);
    /// To be called when another process has the id, or none.
    void forget(const BackendServerId &server);

    /// The times of the last ten seconds, up to 64 of them. Older ones are not used: a server that was slow gets no
    /// calls that would show that it has recovered.
    ObservedTimes latest(const BackendServerId &server, SteadyTime now) const;

private:
    struct Sample {
        double milliseconds = 0;
        SteadyTime at{};
    };
    static constexpr std::size_t MaxSamples = 64;
    struct Samples {
        std::array<Sample, MaxSamples> values{};
        std::size_t count = 0;
    };

    std::unordered_map<BackendServerId, Samples> m_servers;
};

} // namespace Cardamomhill
