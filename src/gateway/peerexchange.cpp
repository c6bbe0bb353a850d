#include "gateway/peerexchange.h"

#include "control/controladdress.h"
#include "gateway/gatewaysettings.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "traffic/servertable.h"

#include <algorithm>

namespace Cardamomhill
{

using asio::ip::udp;

namespace
{

/// Loads are published at least this often even without new notices, so that calls of unresponsive hosts are dropped.
constexpr Milliseconds MaxPublicationInterval{500};
/// Ticks in which a notice about a group or about prompts is sent again.
constexpr int NoticeRepetitions = 2;

} // namespace

PeerExchange::PeerExchange(asio::io_context &context,
                           const GatewaySettings &settings,
                           std::uint64_t incarnation,
                           ServerTable &servers,
                           MetricsRegistry &metrics,
                           Observers observers)
    : m_socket(context)
    , m_exchange(settings.host.value(), settings.failureDomain.value(), incarnation)
    , m_servers(servers)
    , m_metrics(metrics)
    , m_observers(std::move(observers))
{
}

Result<void, NetError> PeerExchange::listen(const udp::endpoint &endpoint)
{
    SystemError error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        // A notice whose sending would block is dropped; it may be lost on the network as well.
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failure(NetError{NetErrorCode::AddressInUse, error.message()});
    }
    spawn(m_socket.get_executor(), "peer-exchange", receive());
    return success();
}

void PeerExchange::setOwnSlowServers(SlowdownFactors slowdownFactors)
{
    m_exchange.setOwnSlowServers(std::move(slowdownFactors));
    publish();
}

void PeerExchange::setPeers(std::vector<udp::endpoint> peers)
{
    m_peers = std::move(peers);
    const auto now = steadyNow();
    std::erase_if(m_hostAddresses, [&](const auto &entry) { return !m_exchange.isResponsive(entry.first, now); });
    for (const auto &[host, address] : m_hostAddresses) {
        addPeer(address);
    }
}

void PeerExchange::addPeer(const udp::endpoint &peer)
{
    if (std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end()) {
        m_peers.push_back(peer);
    }
}

void PeerExchange::tick()
{
    const auto now = steadyNow();
    const auto notice = m_exchange.nextNotice(m_servers.ownLoads(), now);
    if (notice) {
        sendToPeers(packNotice(*notice));
    }
    for (auto &repeated : m_repeatedNotices) {
        sendToPeers(repeated.bytes);
        --repeated.remaining;
    }
    std::erase_if(m_repeatedNotices, [](const RepeatedNotice &repeated) { return repeated.remaining <= 0; });
    auto unresponsiveHosts = m_exchange.unresponsiveHosts(now);
    if (unresponsiveHosts != m_unresponsiveHosts) {
        m_unresponsiveHosts = std::move(unresponsiveHosts);
        m_observers.onUnresponsiveHosts(m_unresponsiveHosts);
    }
    if (m_hasNewNotices || now >= m_nextPublicationAt) {
        publish();
    }
}

void PeerExchange::sendToPeers(std::string_view bytes)
{
    for (const auto &peer : m_peers) {
        SystemError error;
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), peer, 0, error);
        if (error) {
            m_metrics.counter("peer_notices_unsent_total").add();
        }
    }
}

void PeerExchange::sendGroupNotice(const GroupNotice &notice)
{
    sendRepeatedly(packGroupNotice(notice));
}

void PeerExchange::sendPromptNotice(const PromptNotice &notice)
{
    sendRepeatedly(packPromptNotice(notice));
}

void PeerExchange::sendRepeatedly(std::string bytes)
{
    sendToPeers(bytes);
    m_repeatedNotices.push_back({std::move(bytes), NoticeRepetitions});
}

void PeerExchange::processOtherNotice(std::string_view bytes)
{
    if (const auto groupNotice = unpackGroupNotice(bytes)) {
        m_metrics.counter("group_notices_total").add();
        m_observers.onGroupNotice(*groupNotice);
    } else if (const auto promptNotice = unpackPromptNotice(bytes)) {
        m_metrics.counter("prompt_notices_total").add();
        m_observers.onPromptNotice(*promptNotice);
    } else {
        m_metrics.counter("peer_notices_malformed_total").add();
    }
}

void PeerExchange::publish()
{
    m_hasNewNotices = false;
    m_nextPublicationAt = steadyNow() + MaxPublicationInterval;
    m_servers.setPeerLoads(m_exchange.peerLoads(steadyNow()));
    const auto slowdownFactors = m_exchange.slowdownFactors();
    if (slowdownFactors != m_servers.slowdownFactors()) {
        m_observers.onSlowdownFactors(slowdownFactors);
    }
    publishDomainHosts();
}

void PeerExchange::publishDomainHosts()
{
    std::map<std::string, udp::endpoint> current;
    for (const auto &name : m_exchange.sameDomainHosts(steadyNow())) {
        current.emplace(name, m_hostAddresses.at(name));
    }
    if (current == m_reportedDomainHosts) {
        return;
    }
    m_reportedDomainHosts = std::move(current);
    std::vector<RelayHost> hosts;
    for (const auto &[name, address] : m_reportedDomainHosts) {
        hosts.push_back({name, controlAddress({address.address(), address.port()}).value()});
    }
    m_observers.onDomainHosts(hosts);
}

std::size_t PeerExchange::hostCount() const
{
    return m_exchange.hostCount(steadyNow());
}

std::set<HostId> PeerExchange::heardHosts() const
{
    std::set<HostId> hosts;
    for (const auto &[name, address] : m_hostAddresses) {
        hosts.emplace(name);
    }
    return hosts;
}

Task<> PeerExchange::receive()
{
    while (m_socket.is_open()) {
        udp::endpoint from;
        SystemError error;
        const auto size = co_await m_socket.async_receive_from(asio::buffer(m_buffer), from, storeError(error));
        if (error) {
            // A datagram that was sent earlier reached a closed port.
            continue;
        }
        const auto notice = unpackNotice({m_buffer.data(), size});
        if (!notice) {
            processOtherNotice({m_buffer.data(), size});
        } else if (m_exchange.processNotice(*notice, steadyNow())) {
            m_metrics.counter("peer_notices_total").add();
            auto &address = m_hostAddresses[notice->host];
            if (address != from) {
                address = from;
                addPeer(from);
                m_observers.onNewHost(HostId(notice->host));
            }
            m_observers.onNotice(FailureDomainId(notice->failureDomain));
            m_hasNewNotices = true;
        }
    }
}

} // namespace Cardamomhill
