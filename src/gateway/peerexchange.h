#pragma once

#include "core/identifiers.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "objectstore/relayhost.h"
#include "traffic/groupnotice.h"
#include "traffic/loadexchange.h"
#include "traffic/promptnotice.h"

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

/// Exchanges load notices with the other entry hosts over UDP: sends this host's calls in progress and slow ranks, and
/// applies those of the others to the server table.
class PeerExchange
{
public:
    struct Observers {
        /// The slow servers that this or another host knows of, whenever they change.
        std::function<void(const SlowdownFactors &)> onSlowdownFactors;
        /// A notice was received from a host in that failure domain.
        std::function<void(const FailureDomainId &)> onNotice;
        /// The hosts that are unresponsive, whenever that changes.
        std::function<void(const std::set<std::string> &)> onUnresponsiveHosts;
        /// The other live hosts in this host's failure domain, whenever they change.
        std::function<void(const std::vector<RelayHost> &)> onDomainHosts;
        /// The coordinator of a group on another host sent a notice. It may be a repetition.
        std::function<void(const GroupNotice &)> onGroupNotice;
        /// Another host sent a notice about prompts. It may be a repetition.
        std::function<void(const PromptNotice &)> onPromptNotice;
        /// The first notice was received from a host, or the first one from a new address.
        std::function<void(const HostId &)> onNewHost;
    };

    PeerExchange(asio::io_context &context,
                 const GatewaySettings &settings,
                 std::uint64_t incarnation,
                 ServerTable &servers,
                 MetricsRegistry &metrics,
                 Observers observers);

    Result<void, NetError> listen(const asio::ip::udp::endpoint &endpoint);
    /// Sets the slow ranks of the groups that this host coordinates.
    void setOwnSlowServers(SlowdownFactors slowdownFactors);
    /// Sets the hosts that the store lists. Notices also go to live hosts that are not listed but send notices.
    void setPeers(std::vector<asio::ip::udp::endpoint> peers);

    /// Sends a notice about a group to all peers, now and again in the next ticks, since it may be lost.
    void sendGroupNotice(const GroupNotice &notice);

    /// Sends a notice about prompts to all peers, in the same way.
    void sendPromptNotice(const PromptNotice &notice);

    /// Sends a notice and notifies the observers if one is due. To be called periodically.
    void tick();

    std::size_t hostCount() const;
    /// Hosts that sent notices and were responsive at the last setPeers().
    std::set<HostId> heardHosts() const;

private:
    /// Size of the receive buffer. A notice with calls at 100 servers has about 1 kB, one about prompts at most
    /// PromptNoticeQueue::MaxNoticeBytes and the name of its host.
    static constexpr std::size_t MaxNoticeBytes = 16 * 1024;

    Task<> receive();
    void sendToPeers(std::string_view bytes);
    /// Sends a notice to all peers, and again in the next ticks.
    void sendRepeatedly(std::string bytes);
    /// Processes a notice that is no load notice.
    void processOtherNotice(std::string_view bytes);
    void addPeer(const asio::ip::udp::endpoint &peer);
    void publish();
    void publishDomainHosts();

    asio::ip::udp::socket m_socket;
    LoadExchange m_exchange;
    ServerTable &m_servers;
    MetricsRegistry &m_metrics;
    Observers m_observers;
    std::vector<asio::ip::udp::endpoint> m_peers;
    std::map<std::string, asio::ip::udp::endpoint> m_hostAddresses;
    std::set<std::string> m_unresponsiveHosts;
    /// The part of m_hostAddresses that was last passed to onDomainHosts.
    std::map<std::string, asio::ip::udp::endpoint> m_reportedDomainHosts;
    struct RepeatedNotice {
        std::string bytes;
        int remaining = 0;
    };
    std::vector<RepeatedNotice> m_repeatedNotices;
    bool m_hasNewNotices = false;
    SteadyTime m_nextPublicationAt{};
    std::array<char, MaxNoticeBytes> m_buffer{};
};

} // namespace Cardamomhill
