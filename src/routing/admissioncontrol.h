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

/// Parameters of AdmissionControl. A node is an entry host.
struct AdmissionOptions {
    /// Maximum number of requests in flight on the node.
    std::uint32_t maximumInFlight = 256;
    /// Fraction that each priority class may use of its organisation's share and, when borrowing, of the node limit.
    std::array<double, PRIORITY_CLASS_COUNT> classFractions{1.0, 0.9, 0.7};
    /// Fraction of the node limit that is never lent, so that an organisation that becomes active is admitted at once.
    double headroomFraction = 0.05;
    /// An organisation counts as active for this long after its last request.
    Microseconds activeWindow = Seconds(10);
    /// How long capacity stays reserved for an organisation whose request was refused although it was within its
    /// share. It must be longer than the longest retryAfter, which is twice the minimum.
    Microseconds reservationLifetime = Seconds(5);
    Milliseconds minimumRetryAfter{1000};
};

/// The configured weight and limit of an organisation.
struct OrganisationLimits {
    OrganisationId id;
    /// At least 1; 0 counts as 1.
    std::uint32_t weight = 1;
    /// Maximum number of requests in flight over all entry hosts; 0 means no limit.
    std::uint32_t limit = 0;
};

/// The other entry hosts as this node sees them.
struct PeerStatus {
    /// Whether the other entry hosts can be reached.
    bool reachable = true;
    /// Configured entry hosts, this one included.
    std::uint32_t configuredHosts = 1;
    /// Position of this host among the configured ones, ordered by id.
    std::uint32_t hostIndex = 0;
};

/// An admitted request.
struct AdmissionGrant {
    /// Whether the request uses capacity from the unused shares of other organisations.
    bool borrowed = false;
};

/// Divides the concurrency of a node among organisations. Each active one has a share in proportion to its weight.
/// Unused shares are lent. When an organisation is refused within its share because the node is full, the next free
/// capacity is reserved for it.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionOptions options = {});

    /// Admits or refuses without waiting. Each admitted request must be followed by one release().
    Result<AdmissionGrant, AdmissionRefusal>
    admit(const OrganisationLimits &organisation, PriorityClass priority, SteadyTime now);
    void release(const OrganisationId &organisation, SteadyTime now);

    void setPeers(const PeerStatus &peers);
    void setNodeLimit(std::uint32_t limit);

    std::uint32_t inFlight() const;
    std::uint32_t inFlight(const OrganisationId &organisation) const;
    /// Number of organisations with requests in flight or within the active window; only these have state here.
    std::size_t activeOrganisations() const;
    /// The share of an active organisation, in requests; 0 for others.
    double share(const OrganisationId &organisation) const;
    /// The part of an organisation's limit that applies on this host while its peers are unreachable. The parts of all
    /// hosts add up to the limit, so with a limit below the number of hosts some hosts have a part of 0.
    std::uint32_t staticShare(const OrganisationLimits &organisation) const;

private:
    struct Entry {
        /// Points to the key in `m_entries`.
        const OrganisationId *id = nullptr;
        std::uint32_t weight = 1;
        std::uint32_t inFlight = 0;
        /// Requests that were refused although within the share, and for which capacity is reserved.
        std::uint32_t reservations = 0;
        SteadyTime lastSeen{};
        SteadyTime reservationsEnd{};
        std::optional<std::list<Entry *>::iterator> idlePosition;
        std::optional<std::list<Entry *>::iterator> reservationPosition;
    };

    void expire(SteadyTime now);
    Entry &refreshEntry(const OrganisationLimits &organisation, SteadyTime now);
    void setIdle(Entry &entry, SteadyTime now);
    void clearIdle(Entry &entry);
    void addReservation(Entry &entry, double entitlement, SteadyTime now);
    void setReservations(Entry &entry, std::uint32_t reservations);
    double shareOf(const Entry &entry) const;
    bool canBorrow(const Entry &entry, double fraction) const;
    AdmissionRefusal refusal(AdmissionRefusalCode code, const Entry &entry) const;
    std::optional<AdmissionRefusalCode> limitReached(const OrganisationLimits &organisation, const Entry &entry) const;

    AdmissionOptions m_options;
    PeerStatus m_peers;
    std::unordered_map<OrganisationId, Entry> m_entries;
    /// Entries without requests in flight, the longest idle first.
    std::list<Entry *> m_idle;
    /// Entries with reservations, the first to expire first.
    std::list<Entry *> m_reservingEntries;
    std::uint64_t m_activeWeight = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_reservations = 0;
};

} // namespace Cardamomhill
