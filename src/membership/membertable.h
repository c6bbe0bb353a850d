#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "membership/controladdress.h"
#include "membership/memberrows.h"
#include "membership/serverload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The entry hosts and backend servers of a failure domain with their states and loads.
///
/// Rows merge by incarnation; within an incarnation the state advances from live over suspect and dead to leaving, and
/// the load with the highest sequence number wins. Order and duplicates of messages do not matter, and old rows from a
/// process that was paused cannot replace newer ones.
class MemberTable
{
public:
    /// Merges newer values from the row. Returns whether anything changed.
    bool mergeHost(const HostRow &row, SteadyTime now);

    /// As mergeHost(). Small changes of the load are not announced to other hosts until 30 s after the last
    /// announcement.
    bool mergeServer(const ServerRow &row, SteadyTime now);

    /// The row of the host with the hash, or null.
    const HostRow *host(std::uint64_t hash) const;

    std::vector<HostRow> hosts() const;

    /// The hash of the host with this address, if known.
    std::optional<std::uint64_t> hostHashAt(const ControlAddress &address) const;

    std::size_t hostCount() const;

    /// Grows with each change of a host's row.
    std::uint64_t hostChangeCount() const;

    std::size_t serverCount() const;

    std::optional<ServerLoad> server(const BackendServerId &server) const;

    /// The row of the server with its age at this moment, if known.
    std::optional<ServerRow> serverRow(std::uint64_t server, SteadyTime now) const;

    /// Whether a report of the server was received from any process in the last 40 s; its load is announced every 30 s.
    bool hasRecentReport(std::uint64_t server, SteadyTime now) const;

    /// Chooses rows for a message: first those sent the fewest times, and among these the most recently changed. Each
    /// row is sent 3 * log2(n + 1) times after a change, n being the number of hosts. Remaining space is used for one
    /// further server, in round-robin order.
    MemberRows rowsToSend(std::size_t byteBudget, SteadyTime now);

    /// All rows, for a process that has just started.
    MemberRows allRows(SteadyTime now) const;

    /// Hosts in this state, by hash.
    std::vector<std::uint64_t> hostsIn(MemberState state) const;

    /// Marks members dead that were suspect for too long, removes dead and leaving ones after some minutes, and marks a
    /// server suspect after minutes without a report. Returns the hosts that became dead.
    std::vector<HostRow> expire(SteadyTime now);

    /// Moves all times forward by a pause of this process, so that the pause does not count against other members.
    void shiftTimes(Microseconds pause);

    static std::uint64_t hashOf(const HostId &host);
    static std::uint64_t hashOf(const BackendServerId &server);

private:
    struct Host {
        HostRow row;
        SteadyTime changed;
        std::uint32_t sendCount = 0;
    };
    struct Server {
        ServerRow row;
        LoadReport announced;
        SteadyTime changed;
        SteadyTime announcedAt;
        /// When the last newer load was received.
        SteadyTime lastReceived;
        SteadyTime reportedAt;
        std::uint32_t sendCount = 0;
    };

    std::uint32_t transmissionLimit() const;
    void announce(Server &server, SteadyTime now) const;
    static bool isSignificant(const Server &server, SteadyTime now);
    static ServerRow agedRow(const Server &server, SteadyTime now);
    std::size_t addHosts(MemberRows &rows, std::size_t budget);
    std::size_t addServers(MemberRows &rows, std::size_t budget, SteadyTime now);
    void addExtraServer(MemberRows &rows, std::size_t budget, SteadyTime now);
    void expireServers(SteadyTime now);

    // Keyed by the hash of the name.
    std::map<std::uint64_t, Host> m_hosts;
    std::map<std::uint64_t, Server> m_servers;
    std::map<std::string, std::uint64_t> m_addresses;
    std::uint64_t m_extraServerCursor = 0;
    std::uint64_t m_hostChangeCount = 0;
};

} // namespace Cardamomhill
