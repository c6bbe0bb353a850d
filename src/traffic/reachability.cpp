#include "traffic/reachability.h"

#include <algorithm>

namespace Cardamomhill
{

Reachability::Reachability(FailureDomainId ownDomain, ReachabilityOptions options)
    : m_ownDomain(std::move(ownDomain))
    , m_options(options)
{
}

void Reachability::recordNotice(const FailureDomainId &domain, SteadyTime now)
{
    auto &state = m_domains[domain];
    state.lastNoticeAt = now;
    state.lastSuccessAt = now;
    state.hasSentNotice = true;
    state.consecutiveFailures = 0;
}

void Reachability::recordConnectionAttempt(const FailureDomainId &domain, bool success, SteadyTime now)
{
    auto &state = m_domains[domain];
    if (success) {
        state.lastSuccessAt = now;
        state.consecutiveFailures = 0;
    } else {
        state.lastFailureAt = now;
        ++state.consecutiveFailures;
    }
}

bool Reachability::isUnresponsive(const Domain &domain, SteadyTime now) const
{
    return domain.hasSentNotice && now - domain.lastSuccessAt > m_options.noticeTimeout;
}

bool Reachability::isIsolated(SteadyTime now) const
{
    const auto unreachableDomains = unreachable(now);
    std::size_t others = 0;
    for (const auto &[id, state] : m_domains) {
        if (id == m_ownDomain || !state.hasSentNotice) {
            continue;
        }
        if (!unreachableDomains.contains(id)) {
            return false;
        }
        ++others;
    }
    return others > 0;
}

std::set<FailureDomainId> Reachability::unreachable(SteadyTime now) const
{
    // If no notices arrive at all, this host receives none; that does not mean that the other domains are unreachable.
    const bool receivesNotices = std::any_of(m_domains.begin(), m_domains.end(), [&](const auto &entry) {
        return entry.second.hasSentNotice && now - entry.second.lastNoticeAt <= m_options.noticeTimeout;
    });
    std::set<FailureDomainId> domains;
    for (const auto &[id, state] : m_domains) {
        const bool isFailing = state.consecutiveFailures >= m_options.failedConnectionLimit
            && state.lastFailureAt > state.lastSuccessAt && now - state.lastFailureAt < m_options.retryInterval;
        const bool isUnresponsiveDomain = id != m_ownDomain && receivesNotices && isUnresponsive(state, now);
        if (isFailing || isUnresponsiveDomain) {
            domains.insert(id);
        }
    }
    return domains;
}

} // namespace Cardamomhill
