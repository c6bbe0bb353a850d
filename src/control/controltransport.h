#pragma once

#include "control/nngreceiver.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "membership/nodeaddress.h"
#include "membership/outgoingmessage.h"
#include "net/asio.h"
#include "net/neterror.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Cardamomhill
{

class MetricsRegistry;
class NngSender;

/// Carries control messages: small ones as UDP datagrams, larger ones over nng, both at the control address of a
/// process. Loss is allowed; the protocols above repair it.
class ControlTransport
{
public:
    using Handler = std::function<void(const NodeAddress &, std::string_view)>;

    ControlTransport(asio::io_context &context, MetricsRegistry &metrics, Handler handler);
    ~ControlTransport();

    /// Port 0 takes any free port; it serves processes that only peers answer to.
    Result<void, NetError> listen(const tcp::endpoint &endpoint);

    /// The address at which peers answer.
    NodeAddress address() const;

    void send(const OutgoingMessage &message);

    /// Closes nng connections that were open for long. A connection that has gone silent for good is replaced in this
    /// way, without heartbeats of its own.
    void tick(SteadyTime now);

private:
    using Udp = asio::ip::udp;

    Task<> receiveLoop();
    void sendDatagram(const tcp::endpoint &peer, const std::string &bytes);
    void sendOverConnection(const NodeAddress &to, const tcp::endpoint &peer, const std::string &bytes);
    void receiveOverConnection(const std::string &bytes);

    asio::io_context &m_context;
    MetricsRegistry &m_metrics;
    Handler m_handler;
    Udp::socket m_udp;
    NngReceiver m_receiver;
    NodeAddress m_address;
    std::map<NodeAddress, std::unique_ptr<NngSender>> m_senders;
};

} // namespace Cardamomhill
