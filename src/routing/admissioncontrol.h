#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "routing/admissionrefusal.h"
#include "routing/priorityclass.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace Cardamomhill
{

/// Constants of AdmissionControl.
struct AdmissionOptions {
    /// Requests that the node may run at once.
    std::uint32_t nodeLimit = 256;
    /// Part of its share, and of the node when borrowing, that each priority class may use.
    std::array<double, PRIORITY_CLASSES> classFractions{1.0, 0.9, 0.7};
    /// Part of the node that is not lent, so that an organisation that becomes active finds room at once.
    double reserveFraction = 0.05;
    /// An organisation counts as active for this time after its last request.
    Microseconds activeWindow = Seconds(10);
    /// After a refusal within its share, room is kept for an organisation for this time. It has to be longer than
    /// the longest retryAfter, which is twice the shortest.
    Microseconds claimLifetime = Seconds(5);
    Milliseconds shortestRetryAfter{1000};
};

/// What configuration says of an organisation.
struct OrganisationShare {
    OrganisationId id;
    /// At least 1; 0 counts as 1.
    std::uint32_t weight = 1;
    /// Requests that may run at once over all entry hosts; 0 means no limit.
    std::uint32_t limit = 0;
};

/// How this node stands among the configured entry hosts.
struct PeerView {
    bool reachable = true;
    std::uint32_t configuredHosts = 1;
    /// Position of this host among the configured ones in the order of their ids.
    std::uint32_t hostIndex = 0;
};

/// An admitted request.
struct AdmissionGrant {
    /// Whether the request uses what other organisations left unused.
    bool borrowed = false;
};

/// Divides the concurrency of a node among organisations. Each active one has a share by weight. Unused shares are
/// lent; when one is asked for and the node is full, what becomes free is kept for its organisation.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionOptions options = {});

    /// Admits or refuses at once. Each admitted request is followed by one release().
    Result<AdmissionGrant, AdmissionRefusal>
    admit(const OrganisationShare &organisation, PriorityClass priority, SteadyTime now);
    void release(const OrganisationId &organisation, SteadyTime now);

    void setPeers(const PeerView &peers);
    void setNodeLimit(std::uint32_t limit);

    std::uint32_t inFlight() const;
    std::uint32_t inFlight(const OrganisationId &organisation) const;
    /// Organisations with state here: those with requests in flight or within the active window.
    std::size_t activeOrganisations() const;
    /// The share of an active organisation; 0 for others.
    double share(const OrganisationId &organisation) const;
    /// The part of an organisation's limit that applies on this host while peers cannot be reached. The parts of all
    /// hosts add up to the limit, so a limit below the number of hosts leaves some hosts without a part.
    std::uint32_t staticShare(const OrganisationShare &organisation) const;

private:
    struct Entry {
        /// Points to the key in `m_entries`.
        const OrganisationId *id = nullptr;
        std::uint32_t weight = 1;
        std::uint32_t inFlight = 0;
        /// Refused requests within the share for which room is kept.
        std::uint32_t claims = 0;
        SteadyTime lastSeen{};
        SteadyTime claimsEnd{};
        std::optional<std::list<Entry *>::iterator> idlePosition;
        std::optional<std::list<Entry *>::iterator> claimPosition;
    };

    void expire(SteadyTime now);
    Entry &touch(const OrganisationShare &organisation, SteadyTime now);
    void setIdle(Entry &entry, SteadyTime now);
    void clearIdle(Entry &entry);
    void addClaim(Entry &entry, double entitlement, SteadyTime now);
    void setClaims(Entry &entry, std::uint32_t claims);
    double shareOf(const Entry &entry) const;
    bool mayBorrow(const Entry &entry, double fraction) const;
    AdmissionRefusal refusal(AdmissionRefusalCode code, const Entry &entry) const;
    std::optional<AdmissionRefusalCode> limitReached(const OrganisationShare &organisation, const Entry &entry) const;

    AdmissionOptions m_options;
    PeerView m_peers;
    std::unordered_map<OrganisationId, Entry> m_entries;
    /// Entries without requests in flight, the longest idle first.
    std::list<Entry *> m_idle;
    /// Entries with claims, the first to expire first.
    std::list<Entry *> m_claimants;
    std::uint64_t m_activeWeight = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_claims = 0;
};

} // namespace Cardamomhill
