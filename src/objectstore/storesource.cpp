#include "objectstore/storesource.h"

#include "core/hash.h"

#include <algorithm>

namespace Cardamomhill
{

StoreSource::StoreSource(std::string host, StoreSourceOptions options)
    : m_host(std::move(host))
    , m_options(options)
    , m_firstRelay(hash64(m_host) % options.relayCount)
{
}

void StoreSource::setHosts(std::vector<RelayHost> hosts)
{
    m_relays.clear();
    m_role = StoreRole::Direct;
    if (hosts.size() + 1 < m_options.minDomainHosts) {
        return;
    }
    const auto isBefore = [](const RelayHost &left, const RelayHost &right) {
        return std::pair(hash64(left.name), left.name) < std::pair(hash64(right.name), right.name);
    };
    hosts.push_back({m_host, std::string()});
    std::sort(hosts.begin(), hosts.end(), isBefore);
    hosts.resize(m_options.relayCount);
    const bool isRelay
        = std::any_of(hosts.begin(), hosts.end(), [&](const RelayHost &host) { return host.name == m_host; });
    m_role = isRelay ? StoreRole::Relay : StoreRole::Relayed;
    if (!isRelay) {
        m_relays = std::move(hosts);
    }
}

StoreRole StoreSource::role() const
{
    return m_role;
}

SourceChoice StoreSource::nextStep(SteadyTime now)
{
    const auto relay = now < m_directUntil ? std::nullopt : selectRelay(now);
    if (!relay) {
        return CallStore{};
    }
    if (m_answersWithoutContact == 0 || now >= m_nextRelayCallAt) {
        return CallRelay{*relay};
    }
    if (now >= m_nextStoreCallAt) {
        return CallStore{};
    }
    return WaitUntil{std::min(m_nextRelayCallAt, m_nextStoreCallAt)};
}

bool StoreSource::hasContact(SteadyTime now) const
{
    return m_answersWithoutContact < m_options.relayCount || storeAnsweredRecently(now);
}

void StoreSource::relayAnswered(const std::string &host)
{
    m_failedUntil.erase(host);
    m_answersWithoutContact = 0;
}

void StoreSource::relayHasNoContact(const std::string &host, SteadyTime now)
{
    m_failedUntil.erase(host);
    ++m_firstRelay;
    ++m_answersWithoutContact;
    if (m_answersWithoutContact == 1) {
        m_nextStoreCallAt = storeAnsweredRecently(now) ? now : now + m_options.storeCallDelay;
    }
    // Another relay may still have contact.
    m_nextRelayCallAt = m_answersWithoutContact < m_options.relayCount ? now : now + m_options.relayRetryInterval;
}

void StoreSource::relayDeclined(SteadyTime now)
{
    m_directUntil = now + m_options.directDuration;
}

void StoreSource::relayFailed(const std::string &host, SteadyTime now)
{
    m_failedUntil[host] = now + m_options.failedRelayDelay;
}

void StoreSource::storeAnswered(SteadyTime now)
{
    if (m_answersWithoutContact > 0) {
        m_answersWithoutContact = 0;
        m_directUntil = now + m_options.directDuration;
        m_recentAnswerUntil = now + m_options.recentAnswerWindow;
    }
}

void StoreSource::storeFailed(SteadyTime now)
{
    m_nextStoreCallAt = now + m_options.storeRetryInterval;
    m_recentAnswerUntil = SteadyTime();
}

bool StoreSource::storeAnsweredRecently(SteadyTime now) const
{
    return now < m_recentAnswerUntil;
}

std::optional<RelayHost> StoreSource::selectRelay(SteadyTime now) const
{
    for (std::size_t i = 0; i < m_relays.size(); ++i) {
        const auto &relay = m_relays[(m_firstRelay + i) % m_relays.size()];
        const auto failed = m_failedUntil.find(relay.name);
        if (failed == m_failedUntil.end() || failed->second <= now) {
            return relay;
        }
    }
    return std::nullopt;
}

} // namespace Cardamomhill
