#include "objectstore/storesource.h"

#include "core/hash.h"

#include <algorithm>

namespace Cardamomhill
{

StoreSource::StoreSource(std::string host, StoreSourceOptions options)
    : m_host(std::move(host))
    , m_options(options)
    , m_turn(hash64(m_host) % options.relays)
{
}

void StoreSource::setHosts(std::vector<RelayHost> hosts)
{
    m_relays.clear();
    m_role = StoreRole::Direct;
    if (hosts.size() + 1 < m_options.smallestDomain) {
        return;
    }
    const auto isBefore = [](const RelayHost &left, const RelayHost &right) {
        return std::pair(hash64(left.name), left.name) < std::pair(hash64(right.name), right.name);
    };
    hosts.push_back({m_host, std::string()});
    std::sort(hosts.begin(), hosts.end(), isBefore);
    hosts.resize(m_options.relays);
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

SourceChoice StoreSource::next(SteadyTime now)
{
    const auto relay = now < m_directUntil ? std::nullopt : preferredRelay(now);
    if (!relay) {
        return CallStore{};
    }
    if (m_withoutContact == 0 || now >= m_askRelayAt) {
        return CallRelay{*relay};
    }
    if (now >= m_callStoreAt) {
        return CallStore{};
    }
    return WaitForRelay{std::min(m_askRelayAt, m_callStoreAt)};
}

bool StoreSource::hasContact(SteadyTime now) const
{
    return m_withoutContact < m_options.relays || trustsStore(now);
}

void StoreSource::relayAnswered(const std::string &host)
{
    m_unfitUntil.erase(host);
    m_withoutContact = 0;
}

void StoreSource::relayHasNoContact(const std::string &host, SteadyTime now)
{
    m_unfitUntil.erase(host);
    ++m_turn;
    ++m_withoutContact;
    if (m_withoutContact == 1) {
        m_callStoreAt = trustsStore(now) ? now : now + m_options.patience;
    }
    // The others may still have contact.
    m_askRelayAt = m_withoutContact < m_options.relays ? now : now + m_options.relayInterval;
}

void StoreSource::relayDeclined(SteadyTime now)
{
    m_directUntil = now + m_options.directTime;
}

void StoreSource::relayFailed(const std::string &host, SteadyTime now)
{
    m_unfitUntil[host] = now + m_options.unfitTime;
}

void StoreSource::storeAnswered(SteadyTime now)
{
    if (m_withoutContact > 0) {
        m_withoutContact = 0;
        m_directUntil = now + m_options.directTime;
        m_trustUntil = now + m_options.trustTime;
    }
}

void StoreSource::storeFailed(SteadyTime now)
{
    m_callStoreAt = now + m_options.storeInterval;
    m_trustUntil = SteadyTime();
}

bool StoreSource::trustsStore(SteadyTime now) const
{
    return now < m_trustUntil;
}

std::optional<RelayHost> StoreSource::preferredRelay(SteadyTime now) const
{
    for (std::size_t i = 0; i < m_relays.size(); ++i) {
        const auto &relay = m_relays[(m_turn + i) % m_relays.size()];
        const auto unfit = m_unfitUntil.find(relay.name);
        if (unfit == m_unfitUntil.end() || unfit->second <= now) {
            return relay;
        }
    }
    return std::nullopt;
}

} // namespace Cardamomhill
