#pragma once

#include "core/identifiers.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "objectstore/relayhost.h"
#include "traffic/loadexchange.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

class MetricsRegistry;
class ServerTable;
struct GatewaySettings;

/// Sends this host's calls in progress to the other entry hosts over UDP, and hands theirs to the choice of servers.
class PeerExchange
{
public:
    struct Observers {
        /// Which servers are slow, as this or another host knows.
        std::function<void(const ServerSlowness &)> onSlowness;
        /// A notice of a host in that failure domain arrived.
        std::function<void(const FailureDomainId &)> onHeard;
        /// Which hosts have turned silent, whenever that changes.
        std::function<void(const std::set<std::string> &)> onSilentHosts;
        /// The other live hosts of the own failure domain, whenever they change.
        std::function<void(const std::vector<RelayHost> &)> onDomainHosts;
    };

    PeerExchange(asio::io_context &context,
                 const GatewaySettings &settings,
                 std::uint64_t incarnation,
                 ServerTable &servers,
                 MetricsRegistry &metrics,
                 Observers observers);

    Result<void, NetError> listen(const asio::ip::udp::endpoint &endpoint);
    /// Slow ranks that this host knows from its own reports.
    void setOwnSlowness(ServerSlowness slowness);
    /// Hosts that the store lists. Others that send notices are told as well.
    void setPeers(std::vector<asio::ip::udp::endpoint> peers);

    /// Sends what has changed; to be called often.
    void tick();

    std::size_t hostCount() const;

private:
    /// A notice of a host with calls at 100 servers has about 1 kB.
    static constexpr std::size_t MostBytes = 8 * 1024;

    Task<> receive();
    void addPeer(const asio::ip::udp::endpoint &peer);
    void publish();
    void publishDomainHosts();

    asio::ip::udp::socket m_socket;
    LoadExchange m_exchange;
    ServerTable &m_servers;
    MetricsRegistry &m_metrics;
    Observers m_observers;
    std::vector<asio::ip::udp::endpoint> m_peers;
    std::map<std::string, asio::ip::udp::endpoint> m_addresses;
    std::set<std::string> m_silentHosts;
    /// Of those in m_addresses, the ones that were told to the observer.
    std::map<std::string, asio::ip::udp::endpoint> m_domainHosts;
    bool m_hasNews = false;
    SteadyTime m_nextPublication{};
    std::array<char, MostBytes> m_buffer{};
};

} // namespace Cardamomhill
