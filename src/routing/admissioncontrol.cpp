#include "routing/admissioncontrol.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

AdmissionControl::AdmissionControl(AdmissionOptions options)
    : m_options(options)
{
}

Result<AdmissionGrant, AdmissionRefusal>
AdmissionControl::admit(const OrganisationLimits &organisation, PriorityClass priority, SteadyTime now)
{
    expire(now);
    Entry &entry = refreshEntry(organisation, now);
    if (const auto code = limitReached(organisation, entry)) {
        return failure(refusal(*code, entry));
    }
    const double fraction = m_options.classFractions[static_cast<std::size_t>(priority)];
    // With many active organisations a share can be below one request; one is always allowed.
    const double entitlement = std::max(1.0, shareOf(entry) * fraction);
    const bool entitled = entry.inFlight + 1 <= entitlement;
    if (m_inFlight >= m_options.maximumInFlight) {
        if (entitled) {
            addReservation(entry, entitlement, now);
        }
        return failure(refusal(AdmissionRefusalCode::NodeFull, entry));
    }
    if (!entitled && !canBorrow(entry, fraction)) {
        return failure(refusal(AdmissionRefusalCode::ShareUsed, entry));
    }
    if (entry.reservations > 0) {
        setReservations(entry, entry.reservations - 1);
    }
    clearIdle(entry);
    ++entry.inFlight;
    ++m_inFlight;
    return AdmissionGrant{!entitled};
}

void AdmissionControl::release(const OrganisationId &organisation, SteadyTime now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end() || found->second.inFlight == 0) {
        return;
    }
    --found->second.inFlight;
    --m_inFlight;
    if (found->second.inFlight == 0) {
        setIdle(found->second, now);
    }
}

std::optional<AdmissionRefusalCode> AdmissionControl::limitReached(const OrganisationLimits &organisation,
                                                                   const Entry &entry) const
{
    if (organisation.limit == 0) {
        return std::nullopt;
    }
    if (!m_peers.reachable && entry.inFlight >= staticShare(organisation)) {
        return AdmissionRefusalCode::StaticShareUsed;
    }
    if (entry.inFlight >= organisation.limit) {
        return AdmissionRefusalCode::OrganisationLimit;
    }
    return std::nullopt;
}

std::uint32_t AdmissionControl::staticShare(const OrganisationLimits &organisation) const
{
    const std::uint32_t hosts = std::max(m_peers.configuredHosts, 1U);
    const std::uint32_t remainder = organisation.limit % hosts;
    // The hash makes the remainder of each organisation's limit start at a different host.
    const std::uint64_t position = (m_peers.hostIndex + hash64(organisation.id.value()) % hosts) % hosts;
    return organisation.limit / hosts + (position < remainder ? 1 : 0);
}

bool AdmissionControl::canBorrow(const Entry &entry, double fraction) const
{
    const double limit = m_options.maximumInFlight;
    const double headroom = std::ceil(limit * m_options.headroomFraction);
    const double reservedForOthers = m_reservations - entry.reservations;
    return m_inFlight + 1 + reservedForOthers + headroom <= limit * fraction;
}

AdmissionRefusal AdmissionControl::refusal(AdmissionRefusalCode code, const Entry &entry) const
{
    // The more requests wait for capacity, the later they should retry; at most after twice the minimum.
    const double reservedFraction
        = std::min(1.0, static_cast<double>(m_reservations) / std::max(m_options.maximumInFlight, 1U));
    const auto minimum = static_cast<double>(m_options.minimumRetryAfter.count());
    const Milliseconds retryAfter(std::llround(minimum * (1 + reservedFraction)));
    return {code, *entry.id, retryAfter};
}

double AdmissionControl::shareOf(const Entry &entry) const
{
    return static_cast<double>(m_options.maximumInFlight) * entry.weight / static_cast<double>(m_activeWeight);
}

void AdmissionControl::expire(SteadyTime now)
{
    while (!m_reservingEntries.empty() && m_reservingEntries.front()->reservationsEnd <= now) {
        setReservations(*m_reservingEntries.front(), 0);
    }
    while (!m_idle.empty() && m_idle.front()->lastSeen + m_options.activeWindow <= now) {
        Entry &entry = *m_idle.front();
        setReservations(entry, 0);
        clearIdle(entry);
        m_activeWeight -= entry.weight;
        m_entries.erase(m_entries.find(*entry.id));
    }
}

AdmissionControl::Entry &AdmissionControl::refreshEntry(const OrganisationLimits &organisation, SteadyTime now)
{
    const auto [found, isNew] = m_entries.try_emplace(organisation.id);
    Entry &entry = found->second;
    if (isNew) {
        entry.id = &found->first;
    } else {
        m_activeWeight -= entry.weight;
    }
    entry.weight = std::max(organisation.weight, 1U);
    m_activeWeight += entry.weight;
    if (entry.inFlight == 0) {
        setIdle(entry, now);
    }
    return entry;
}

void AdmissionControl::setIdle(Entry &entry, SteadyTime now)
{
    clearIdle(entry);
    entry.lastSeen = now;
    entry.idlePosition = m_idle.insert(m_idle.end(), &entry);
}

void AdmissionControl::clearIdle(Entry &entry)
{
    if (entry.idlePosition) {
        m_idle.erase(*entry.idlePosition);
        entry.idlePosition.reset();
    }
}

void AdmissionControl::addReservation(Entry &entry, double entitlement, SteadyTime now)
{
    const auto unusedShare = static_cast<std::uint32_t>(entitlement) - entry.inFlight;
    if (entry.reservationPosition) {
        m_reservingEntries.erase(*entry.reservationPosition);
    }
    entry.reservationPosition = m_reservingEntries.insert(m_reservingEntries.end(), &entry);
    entry.reservationsEnd = now + m_options.reservationLifetime;
    setReservations(entry, std::min(entry.reservations + 1, unusedShare));
}

void AdmissionControl::setReservations(Entry &entry, std::uint32_t reservations)
{
    m_reservations = m_reservations - entry.reservations + reservations;
    entry.reservations = reservations;
    if (reservations == 0 && entry.reservationPosition) {
        m_reservingEntries.erase(*entry.reservationPosition);
        entry.reservationPosition.reset();
    }
}

void AdmissionControl::setPeers(const PeerStatus &peers)
{
    m_peers = peers;
}

void AdmissionControl::setNodeLimit(std::uint32_t limit)
{
    m_options.maximumInFlight = limit;
}

std::uint32_t AdmissionControl::inFlight() const
{
    return m_inFlight;
}

std::uint32_t AdmissionControl::inFlight(const OrganisationId &organisation) const
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? 0 : found->second.inFlight;
}

std::size_t AdmissionControl::activeOrganisations() const
{
    return m_entries.size();
}

double AdmissionControl::share(const OrganisationId &organisation) const
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? 0 : shareOf(found->second);
}

} // namespace Cardamomhill
