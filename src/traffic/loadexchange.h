#pragma once

#include "core/clocktypes.h"
#include "traffic/loadnotice.h"
#include "traffic/slowdownfactors.h"

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
    /// Minimum time between two notices, also if loads change more often.
    Milliseconds minInterval{150};
    /// Unchanged loads are sent again after this time, to make up for a lost notice.
    Milliseconds maxInterval{500};
    /// Calls of a host without notices for this long are no longer counted; its process is taken as ended.
    Milliseconds noticeLifetime{2500};
    /// A host whose last notice is older than this is unresponsive. Four notices of a busy host fit into it.
    Milliseconds unresponsiveAfter{900};
    /// A host whose last notice is older than this is no longer listed as unresponsive.
    Milliseconds forgetAfter{10000};
};

/// Adds up the calls in progress of all entry hosts, from the notices that they send to each other.
class LoadExchange
{
public:
    LoadExchange(std::string host,
                 std::string failureDomain,
                 std::uint64_t incarnation,
                 LoadExchangeOptions options = {});

    /// The notice to send now, or nothing if none is due.
    std::optional<LoadNotice> nextNotice(const ServerLoads &own, SteadyTime now);

    /// Sets the slow ranks that this host knows as the coordinator of groups.
    void setOwnSlowServers(SlowdownFactors slowdownFactors);

    /// Processes a notice of another host. Returns false for an outdated notice and for one of this host.
    bool processNotice(const LoadNotice &notice, SteadyTime now);

    /// Calls in progress of all other hosts.
    ServerLoads peerLoads(SteadyTime now);

    /// Slow servers that this or any other host reports, each with the highest reported factor.
    SlowdownFactors slowdownFactors() const;

    /// Hosts that sent notices but are now unresponsive. Empty if these are most hosts, since then this host is
    /// probably the one that is cut off.
    std::set<std::string> unresponsiveHosts(SteadyTime now);

    /// Whether notices of another host arrive.
    bool isResponsive(const std::string &host, SteadyTime now) const;

    /// Other hosts of the same failure domain whose notices arrive.
    std::set<std::string> sameDomainHosts(SteadyTime now) const;

    /// Number of hosts whose notices arrive, plus this host.
    std::size_t hostCount(SteadyTime now) const;

private:
    struct Peer {
        LoadNotice notice;
        SteadyTime receivedAt{};
    };

    bool isLive(const Peer &peer, SteadyTime now) const;

    std::string m_host;
    std::string m_failureDomain;
    std::uint64_t m_incarnation;
    LoadExchangeOptions m_options;
    std::map<std::string, Peer> m_peers;
    /// When the last notice of each host arrived. Kept longer than its entry in `m_peers`.
    std::map<std::string, SteadyTime> m_receivedAt;
    SlowdownFactors m_ownSlowServers;
    ServerLoads m_sentLoads;
    bool m_haveSlowServersChanged = false;
    std::uint64_t m_sequence = 0;
    SteadyTime m_sentAt{};
};

} // namespace Cardamomhill
