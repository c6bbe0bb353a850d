#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

#include <array>
#include <cstddef>
#include <unordered_map>

namespace Cardamomhill
{

/// The latencies from this host to the failure domains, measured by the connections that it makes to backend servers.
///
/// Setting up a connection takes one round trip, and longer when a host is busy or a packet is lost, so the shortest of
/// the latest setup times counts. They are few, so that a longer path is noticed. What was measured long ago counts
/// less and less: calls that a long setup time keeps away from a domain would never measure it again.
class DomainLatencies
{
public:
    /// Records how long setting up a connection took.
    void record(const FailureDomainId &domain, Microseconds setupTime, SteadyTime now);

    /// Twice the one-way latency; 0 for a domain without a measurement.
    Microseconds roundTrip(const FailureDomainId &domain, SteadyTime now) const;

private:
    static constexpr std::size_t MaxSetups = 8;
    struct Setups {
        std::array<Microseconds, MaxSetups> times{};
        std::size_t count = 0;
        SteadyTime latestAt{};
    };

    std::unordered_map<FailureDomainId, Setups> m_domains;
};

} // namespace Cardamomhill
