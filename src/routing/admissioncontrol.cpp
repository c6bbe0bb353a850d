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
AdmissionControl::admit(const OrganisationShare &organisation, PriorityClass priority, SteadyTime now)
{
    expire(now);
    Entry &entry = touch(organisation, now);
    if (const auto code = limitReached(organisation, entry)) {
        return failure(refusal(*code, entry));
    }
    const double fraction = m_options.classFractions[static_cast<std::size_t>(priority)];
    // One request is always within the share, or many active organisations would leave shares below one request.
    const double entitlement = std::max(1.0, shareOf(entry) * fraction);
    const bool entitled = entry.inFlight + 1 <= entitlement;
    if (m_inFlight >= m_options.nodeLimit) {
        if (entitled) {
            addClaim(entry, entitlement, now);
        }
        return failure(refusal(AdmissionRefusalCode::NodeFull, entry));
    }
    if (!entitled && !mayBorrow(entry, fraction)) {
        return failure(refusal(AdmissionRefusalCode::ShareUsed, entry));
    }
    if (entry.claims > 0) {
        setClaims(entry, entry.claims - 1);
    }
    clearIdle(entry);
    ++entry.inFlight;
    ++m_inFlight;
    return AdmissionGrant{!entitled};
}

void AdmissionControl::release(const OrganisationId &organisation, SteadyTime now)
{
    const auto known = m_entries.find(organisation);
    if (known == m_entries.end() || known->second.inFlight == 0) {
        return;
    }
    --known->second.inFlight;
    --m_inFlight;
    if (known->second.inFlight == 0) {
        setIdle(known->second, now);
    }
}

std::optional<AdmissionRefusalCode> AdmissionControl::limitReached(const OrganisationShare &organisation,
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

std::uint32_t AdmissionControl::staticShare(const OrganisationShare &organisation) const
{
    const std::uint32_t hosts = std::max(m_peers.configuredHosts, 1U);
    const std::uint32_t remainder = organisation.limit % hosts;
    // The hosts that get one more start at another host for each organisation.
    const std::uint64_t position = (m_peers.hostIndex + hash64(organisation.id.value()) % hosts) % hosts;
    return organisation.limit / hosts + (position < remainder ? 1 : 0);
}

bool AdmissionControl::mayBorrow(const Entry &entry, double fraction) const
{
    const double limit = m_options.nodeLimit;
    const double reserve = std::ceil(limit * m_options.reserveFraction);
    const double keptForOthers = m_claims - entry.claims;
    return m_inFlight + 1 + keptForOthers + reserve <= limit * fraction;
}

AdmissionRefusal AdmissionControl::refusal(AdmissionRefusalCode code, const Entry &entry) const
{
    // Those who wait for the same room come back later the more they are; at most twice the shortest time.
    const double crowding = std::min(1.0, static_cast<double>(m_claims) / std::max(m_options.nodeLimit, 1U));
    const auto shortest = static_cast<double>(m_options.shortestRetryAfter.count());
    const Milliseconds retryAfter(std::llround(shortest * (1 + crowding)));
    return {code, *entry.id, retryAfter};
}

double AdmissionControl::shareOf(const Entry &entry) const
{
    return static_cast<double>(m_options.nodeLimit) * entry.weight / static_cast<double>(m_activeWeight);
}

void AdmissionControl::expire(SteadyTime now)
{
    while (!m_claimants.empty() && m_claimants.front()->claimsEnd <= now) {
        setClaims(*m_claimants.front(), 0);
    }
    while (!m_idle.empty() && m_idle.front()->lastSeen + m_options.activeWindow <= now) {
        Entry &entry = *m_idle.front();
        setClaims(entry, 0);
        clearIdle(entry);
        m_activeWeight -= entry.weight;
        m_entries.erase(m_entries.find(*entry.id));
    }
}

AdmissionControl::Entry &AdmissionControl::touch(const OrganisationShare &organisation, SteadyTime now)
{
    const auto [known, isNew] = m_entries.try_emplace(organisation.id);
    Entry &entry = known->second;
    if (isNew) {
        entry.id = &known->first;
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

void AdmissionControl::addClaim(Entry &entry, double entitlement, SteadyTime now)
{
    const auto room = static_cast<std::uint32_t>(entitlement) - entry.inFlight;
    if (entry.claimPosition) {
        m_claimants.erase(*entry.claimPosition);
    }
    entry.claimPosition = m_claimants.insert(m_claimants.end(), &entry);
    entry.claimsEnd = now + m_options.claimLifetime;
    setClaims(entry, std::min(entry.claims + 1, room));
}

void AdmissionControl::setClaims(Entry &entry, std::uint32_t claims)
{
    m_claims = m_claims - entry.claims + claims;
    entry.claims = claims;
    if (claims == 0 && entry.claimPosition) {
        m_claimants.erase(*entry.claimPosition);
        entry.claimPosition.reset();
    }
}

void AdmissionControl::setPeers(const PeerView &peers)
{
    m_peers = peers;
}

void AdmissionControl::setNodeLimit(std::uint32_t limit)
{
    m_options.nodeLimit = limit;
}

std::uint32_t AdmissionControl::inFlight() const
{
    return m_inFlight;
}

std::uint32_t AdmissionControl::inFlight(const OrganisationId &organisation) const
{
    const auto known = m_entries.find(organisation);
    return known == m_entries.end() ? 0 : known->second.inFlight;
}

std::size_t AdmissionControl::activeOrganisations() const
{
    return m_entries.size();
}

double AdmissionControl::share(const OrganisationId &organisation) const
{
    const auto known = m_entries.find(organisation);
    return known == m_entries.end() ? 0 : shareOf(known->second);
}

} // namespace Cardamomhill
