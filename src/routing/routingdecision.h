#pragma once

#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Why a backend server was chosen.
enum class RoutingReason : std::uint8_t {
    /// It had the lower score of two random candidates.
    LowerScore,
    /// No other server could take the request.
    OnlyCandidate,
    /// It holds the prefix of the prompt by rendezvous hash.
    PrefixAffinity,
    /// The server that holds the prefix was overloaded; this one had the lower score of two random candidates.
    AffinityOverloaded,
    /// No server of the local failure domain could take the request.
    SpillOver,
    /// No live server could take the request; this one is suspected dead.
    SuspectServer,
    /// It owns the slot of the request's idempotency key.
    SlotOwner,
};

constexpr auto nameTable(RoutingReason)
{
    return std::to_array<NamedValue<RoutingReason>>({
        {RoutingReason::LowerScore, "lower-score"},
        {RoutingReason::OnlyCandidate, "only-candidate"},
        {RoutingReason::PrefixAffinity, "prefix-affinity"},
        {RoutingReason::AffinityOverloaded, "affinity-overloaded"},
        {RoutingReason::SpillOver, "spill-over"},
        {RoutingReason::SuspectServer, "suspect-server"},
        {RoutingReason::SlotOwner, "slot-owner"},
    });
}

/// The chosen backend server, and what a log line needs to explain the choice.
struct RoutingDecision {
    BackendServerId server;
    FailureDomainId failureDomain;
    double score = 0;
    std::optional<BackendServerId> runnerUp;
    double runnerUpScore = 0;
    RoutingReason reason = RoutingReason::LowerScore;

    /// The decision's part of a log line, as key=value pairs.
    std::string message() const;
};

} // namespace Cardamomhill
