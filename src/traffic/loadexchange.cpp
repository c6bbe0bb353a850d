#include "traffic/loadexchange.h"

#include <algorithm>

namespace Cardamomhill
{

LoadExchange::LoadExchange(std::string host,
                           std::string failureDomain,
                           std::uint64_t incarnation,
                           LoadExchangeOptions options)
    : m_host(std::move(host))
    , m_failureDomain(std::move(failureDomain))
    , m_incarnation(incarnation)
    , m_options(options)
{
}

std::optional<LoadNotice> LoadExchange::nextNotice(const ServerLoads &own, SteadyTime now)
{
    const auto age = now - m_sentAt;
    const bool isUnchanged = own == m_sentLoads && !m_haveSlowServersChanged;
    if (age < m_options.minInterval || (isUnchanged && age < m_options.maxInterval)) {
        return std::nullopt;
    }
    m_haveSlowServersChanged = false;
    m_sentLoads = own;
    m_sentAt = now;
    LoadNotice notice;
    notice.host = m_host;
    notice.failureDomain = m_failureDomain;
    notice.incarnation = m_incarnation;
    notice.sequence = ++m_sequence;
    notice.calls.assign(own.begin(), own.end());
    notice.slowRanks.assign(m_ownSlowServers.begin(), m_ownSlowServers.end());
    return notice;
}

void LoadExchange::setOwnSlowServers(SlowdownFactors slowdownFactors)
{
    m_ownSlowServers = std::move(slowdownFactors);
    m_haveSlowServersChanged = true;
}

SlowdownFactors LoadExchange::slowdownFactors() const
{
    auto all = m_ownSlowServers;
    for (const auto &[host, peer] : m_peers) {
        for (const auto &[server, factor] : peer.notice.slowRanks) {
            all[server] = std::max(all[server], factor);
        }
    }
    return all;
}

bool LoadExchange::processNotice(const LoadNotice &notice, SteadyTime now)
{
    if (notice.host == m_host) {
        return false;
    }
    auto &peer = m_peers[notice.host];
    if (peer.notice.incarnation == notice.incarnation && peer.notice.sequence >= notice.sequence) {
        return false;
    }
    peer = {notice, now};
    m_receivedAt[notice.host] = now;
    return true;
}

ServerLoads LoadExchange::peerLoads(SteadyTime now)
{
    std::erase_if(m_peers, [&](const auto &entry) { return !isLive(entry.second, now); });
    ServerLoads loads;
    for (const auto &[host, peer] : m_peers) {
        for (const auto &[server, calls] : peer.notice.calls) {
            loads[server] += calls;
        }
    }
    return loads;
}

std::set<std::string> LoadExchange::unresponsiveHosts(SteadyTime now)
{
    std::erase_if(m_receivedAt, [&](const auto &entry) { return now - entry.second > m_options.forgetAfter; });
    std::set<std::string> unresponsive;
    for (const auto &[host, receivedAt] : m_receivedAt) {
        if (now - receivedAt > m_options.unresponsiveAfter) {
            unresponsive.insert(host);
        }
    }
    return unresponsive.size() * 2 > m_receivedAt.size() ? std::set<std::string>() : unresponsive;
}

bool LoadExchange::isResponsive(const std::string &host, SteadyTime now) const
{
    const auto peer = m_peers.find(host);
    return peer != m_peers.end() && isLive(peer->second, now);
}

bool LoadExchange::isLive(const Peer &peer, SteadyTime now) const
{
    return now - peer.receivedAt <= m_options.noticeLifetime;
}

std::set<std::string> LoadExchange::sameDomainHosts(SteadyTime now) const
{
    std::set<std::string> hosts;
    for (const auto &[host, peer] : m_peers) {
        if (peer.notice.failureDomain == m_failureDomain && isLive(peer, now)) {
            hosts.insert(host);
        }
    }
    return hosts;
}

std::size_t LoadExchange::hostCount(SteadyTime now) const
{
    const auto live
        = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isLive(entry.second, now); });
    return static_cast<std::size_t>(live) + 1;
}

} // namespace Cardamomhill
