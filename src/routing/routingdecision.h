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
    /// It has the highest rendezvous hash for the prefix of the prompt, so it may have the prefix cached.
    PrefixAffinity,
    /// The server chosen by prefix affinity was overloaded; this one had the lower score of two random candidates.
    AffinityOverloaded,
    /// No live server of the local failure domain could take the request; this one is in another domain.
    SpillOver,
    /// No live server could take the request; this one is suspected to be dead.
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

/// The chosen backend server, and the values that explain the choice in the log.
struct RoutingDecision {
    BackendServerId server;
    FailureDomainId failureDomain;
    /// The server's score, see BackendTable::score().
    double score = 0;
    /// The other candidate, if there was one.
    std::optional<BackendServerId> otherCandidate;
    double otherCandidateScore = 0;
    RoutingReason reason = RoutingReason::LowerScore;

    /// The decision as key=value pairs for the log.
    std::string message() const;
};

} // namespace Cardamomhill
