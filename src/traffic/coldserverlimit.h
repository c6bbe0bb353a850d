#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/coldserverchange.h"
#include "traffic/coldshare.h"
#include "traffic/serverchanges.h"
#include "traffic/serverprocess.h"
#include "traffic/trafficservice.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// Parameters of ColdServerLimit.
struct ColdServerLimitOptions {
    /// This host, by the name that the store lists.
    HostId host;
    /// All hosts together may send `overshoot` times the rate of its service plus `slack` calls to a cold server in any
    /// second. Nothing is limited unless both are set.
    std::optional<double> overshoot;
    std::optional<double> slack;
    /// Longer than the second of the limit, so that calls that are up to 100 ms on the way stay within it.
    Microseconds window = Milliseconds(1100);
    /// A registration may be this old when it becomes known.
    Milliseconds registrationAge{2000};
    /// Longest time that a statement is believed. Limits the harm of a wrong value; a server that is cold for longer
    /// repeats its statement.
    Milliseconds maxStatedTime{60'000};
    /// A host that is missing in the lists for this long is no longer counted. One list may be outdated or incomplete,
    /// and the longest time between two lists is half of this.
    Milliseconds hostLifetime{60'000};
};

/// Tracks which backend servers are cold, and limits the calls that this host sends to them so that the calls of all
/// hosts stay within the limit of the service, without messages between hosts.
///
/// A few of the hosts may send to a given server, selected by a rendezvous hash of host and server. The server's start
/// time is not part of the key: hosts that learn of a restart at different times would select different senders.
class ColdServerLimit
{
public:
    /// Limits nothing.
    ColdServerLimit() = default;
    explicit ColdServerLimit(ColdServerLimitOptions options);

    void setServices(const std::unordered_map<ServiceId, TrafficService> &services);

    /// Sets the hosts that are known. Before the first call, this host sends nothing to cold servers.
    void setHosts(const std::set<HostId> &hosts, SteadyTime now);
    /// Adds a host that is not listed yet.
    void addHost(const HostId &host, SteadyTime now);
    /// Records that the store lists this host, and since when nothing else can have used its share: since the start of
    /// this process, or since its registration if the other hosts did not know the host before. It sends to cold
    /// servers only one window later.
    void setRegistered(SteadyTime since);

    void apply(const ServerChanges &changes, SteadyTime now);
    /// Records that a server has stated how much longer it is cold.
    void recordStated(const ColdStatement &statement, SteadyTime now);
    /// Records that the evacuation of the servers' failure domain has ended.
    void recordRestored(const std::vector<BackendServerId> &servers, SteadyTime now);

    /// Whether the server is cold and has a limit.
    bool isCold(const BackendServerId &server, SteadyTime now) const;
    /// Whether this host may send a call to the server now. Always true for a warm one.
    bool maySend(const BackendServerId &server, SteadyTime now) const;
    /// Counts a call whose attempt begins. Calls to warm servers are counted too, since a server may turn out to be
    /// cold after they were sent.
    void recordStarted(const BackendServerId &server, SteadyTime now);
    /// Counts a call at the time when it is sent rather than when its attempt began, since it may take long to connect.
    /// Returns false, and counts nothing, if it must not be sent any more: the server has become cold, or this process
    /// was stopped in between.
    /// @param startedAt the time that was passed to recordStarted()
    bool recordSent(const BackendServerId &server, SteadyTime startedAt, SteadyTime now);

    /// The servers that have become cold or warm since the last call.
    std::vector<ColdServerChange> takeChanges(SteadyTime now);
    std::size_t coldCount(SteadyTime now) const;

private:
    struct Server {
        ServerProcess process;
        ServiceId service;
        /// When its registration was removed; nothing while it is registered.
        std::optional<SteadyTime> goneAt;
        SteadyTime statedUntil{};
        std::optional<SteadyTime> newSince;
        std::optional<SteadyTime> restoredAt;
        /// How long a server of its service is cold.
        Milliseconds coldStart{0};
        /// Calls that it may get in any second while it is cold; 0 for no limit.
        double limit = 0;
        /// Calls that this host may send in one window while it is cold.
        std::uint32_t share = 0;
        /// Times of the latest calls, in order.
        std::deque<SteadyTime> calls;
        /// What takeChanges() last reported.
        std::optional<ColdReason> reported;
    };

    struct ColdTime {
        SteadyTime end{};
        ColdReason reason = ColdReason::Stated;
    };

    bool isEnabled() const;
    void putServer(const DiscoveredServer &server, bool isFirstList, SteadyTime now);
    void forgetGone(SteadyTime now);
    /// The server if it has a limit, else nullptr.
    const Server *limitedServer(const BackendServerId &id) const;
    /// Until when the server is cold, and why; a time in the past if it is warm.
    ColdTime coldTimeOf(const Server &server) const;
    bool hasRoom(const Server &server, SteadyTime now) const;
    void updateLimits();
    void updateLimit(const BackendServerId &id, Server &server) const;
    /// Number of hosts that come before this one in the order of senders to the server.
    std::size_t rankFor(const BackendServerId &id) const;

    ColdServerLimitOptions m_options;
    struct ServiceLimit {
        Milliseconds coldStart{0};
        double calls = 0;

        bool operator==(const ServiceLimit &) const = default;
    };
    /// The services with a limit.
    std::unordered_map<ServiceId, ServiceLimit> m_services;
    std::unordered_map<BackendServerId, Server> m_servers;
    /// All known hosts with this one, and when each was last known; empty until setHosts() is called.
    std::map<HostId, SteadyTime> m_hosts;
    SteadyTime m_sendsFrom = SteadyTime::max();
};

} // namespace Cardamomhill
