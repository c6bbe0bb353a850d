#include "traffic/reachability.h"

#include <algorithm>

namespace Cardamomhill
{

Reachability::Reachability(FailureDomainId ownDomain, ReachabilityOptions options)
    : m_ownDomain(std::move(ownDomain))
    , m_options(options)
{
}

void Reachability::heard(const FailureDomainId &domain, SteadyTime now)
{
    auto &state = m_domains[domain];
    state.heardAt = now;
    state.goodAt = now;
    state.hasBeenHeard = true;
    state.failures = 0;
}

void Reachability::connected(const FailureDomainId &domain, bool success, SteadyTime now)
{
    auto &state = m_domains[domain];
    if (success) {
        state.goodAt = now;
        state.failures = 0;
    } else {
        state.failedAt = now;
        ++state.failures;
    }
}

bool Reachability::isSilent(const Domain &domain, SteadyTime now) const
{
    return domain.hasBeenHeard && now - domain.goodAt > m_options.silenceLimit;
}

bool Reachability::isIsolated(SteadyTime now) const
{
    const auto cut = unreachable(now);
    std::size_t others = 0;
    for (const auto &[id, state] : m_domains) {
        if (id == m_ownDomain || !state.hasBeenHeard) {
            continue;
        }
        if (!cut.contains(id)) {
            return false;
        }
        ++others;
    }
    return others > 0;
}

std::set<FailureDomainId> Reachability::unreachable(SteadyTime now) const
{
    // Silence of everybody says that this host does not hear, not that the others cannot be reached.
    const bool hearsSomebody = std::any_of(m_domains.begin(), m_domains.end(), [&](const auto &entry) {
        return entry.second.hasBeenHeard && now - entry.second.heardAt <= m_options.silenceLimit;
    });
    std::set<FailureDomainId> domains;
    for (const auto &[id, state] : m_domains) {
        const bool isRefusing = state.failures >= m_options.failedConnections && state.failedAt > state.goodAt
            && now - state.failedAt < m_options.trialInterval;
        const bool isCut = id != m_ownDomain && hearsSomebody && isSilent(state, now);
        if (isRefusing || isCut) {
            domains.insert(id);
        }
    }
    return domains;
}

} // namespace Cardamomhill
