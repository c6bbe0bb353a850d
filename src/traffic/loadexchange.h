#pragma once

#include "core/clocktypes.h"
#include "traffic/loadnotice.h"
#include "traffic/serverslowness.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Cardamomhill
{

/// Constants of LoadExchange.
struct LoadExchangeOptions {
    /// Changes are told at most this often.
    Milliseconds shortestInterval{150};
    /// Unchanged calls are told again after this time, so that a lost notice is made up for.
    Milliseconds longestInterval{500};
    /// Calls of a host that says nothing for this long are no longer counted: its process has ended.
    Milliseconds lifetime{2500};
    /// A host that was heard and has now said nothing for this long is silent. Four notices of a busy host.
    Milliseconds silence{900};
    /// A silent host is forgotten after this time.
    Milliseconds silenceMemory{10000};
};

/// Adds up the calls that all entry hosts have in progress, from notices that they send each other.
class LoadExchange
{
public:
    LoadExchange(std::string host,
                 std::string failureDomain,
                 std::uint64_t incarnation,
                 LoadExchangeOptions options = {});

    /// The notice to send now, if any.
    std::optional<LoadNotice> nextNotice(const ServerLoads &own, SteadyTime now);

    /// Slow ranks that this host knows from its own reports.
    void setOwnSlowness(ServerSlowness slowness);

    /// Takes a notice of another host. Returns false for an old or an own one.
    bool take(const LoadNotice &notice, SteadyTime now);

    /// Calls of all other hosts.
    ServerLoads peerLoads(SteadyTime now);

    /// Slow servers that this or any other host tells of.
    ServerSlowness slowness() const;

    /// Hosts that were heard and have turned silent. Nothing while most hosts are silent: this one is then cut off.
    std::set<std::string> silentHosts(SteadyTime now);

    /// Whether another host was heard lately.
    bool hears(const std::string &host, SteadyTime now) const;

    /// Other hosts of the own failure domain that were heard lately.
    std::set<std::string> domainHosts(SteadyTime now) const;

    /// Hosts that were heard lately, this one included.
    std::size_t hostCount(SteadyTime now) const;

private:
    struct Peer {
        LoadNotice notice;
        SteadyTime heardAt{};
    };

    bool isLive(const Peer &peer, SteadyTime now) const;

    std::string m_host;
    std::string m_failureDomain;
    std::uint64_t m_incarnation;
    LoadExchangeOptions m_options;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, SteadyTime> m_heardAt;
    ServerSlowness m_ownSlowness;
    ServerLoads m_told;
    bool m_hasNews = false;
    std::uint64_t m_sequence = 0;
    SteadyTime m_toldAt{};
};

} // namespace Cardamomhill
