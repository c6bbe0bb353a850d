#include "traffic/evacuations.h"

#include <utility>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// No server is cold for that long after an evacuation. Bounds the memory for names that never return.
constexpr Seconds EndLifetime{24 * 3600};

} // namespace

void Evacuations::replaceAll(const std::set<FailureDomainId> &domains, SteadyTime now)
{
    std::vector<FailureDomainId> missing;
    for (const auto &domain : m_evacuated.domains) {
        if (!domains.contains(domain)) {
            missing.push_back(domain);
        }
    }
    for (const auto &domain : missing) {
        end(domain, now);
    }
    for (const auto &domain : domains) {
        begin(domain);
    }
    m_hasChanged = m_hasChanged || !m_isListed;
    m_isListed = true;
}

void Evacuations::begin(const FailureDomainId &domain)
{
    // Every registration states its domain, so the empty name is that of no domain.
    if (domain.isEmpty()) {
        return;
    }
    m_hasChanged = m_evacuated.domains.insert(domain).second || m_hasChanged;
    m_evacuated.endedAt.erase(domain);
}

void Evacuations::end(const FailureDomainId &domain, SteadyTime now)
{
    if (domain.isEmpty()) {
        return;
    }
    discardOld(now);
    m_evacuated.domains.erase(domain);
    m_evacuated.endedAt[domain] = now;
    m_hasChanged = true;
}

void Evacuations::onStoreUnavailable()
{
    m_isStoreAvailable = false;
}

void Evacuations::onStoreAvailable()
{
    m_isStoreAvailable = true;
}

bool Evacuations::isListed() const
{
    return m_isListed;
}

bool Evacuations::isCurrent() const
{
    return m_isListed && m_isStoreAvailable;
}

const EvacuatedDomains &Evacuations::evacuated() const
{
    return m_evacuated;
}

std::optional<EvacuatedDomains> Evacuations::takeChange()
{
    return m_isListed && std::exchange(m_hasChanged, false) ? std::optional(m_evacuated) : std::nullopt;
}

void Evacuations::discardOld(SteadyTime now)
{
    std::erase_if(m_evacuated.endedAt, [now](const auto &entry) { return now - entry.second > EndLifetime; });
}

} // namespace Cardamomhill
