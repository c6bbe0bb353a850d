#pragma once

#include "control/nngreceiver.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "membership/controladdress.h"
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

/// Sends and receives control messages at the control address of a process: small ones as UDP datagrams, larger ones
/// over nng connections. Messages may be lost; the protocols on top recover from that.
class ControlTransport
{
public:
    using Handler = std::function<void(const ControlAddress &, std::string_view)>;

    ControlTransport(asio::io_context &context, MetricsRegistry &metrics, Handler handler);
    ~ControlTransport();

    /// Port 0 binds any free port, for processes that receive only replies.
    Result<void, NetError> listen(const tcp::endpoint &endpoint);

    /// The address that peers reply to.
    ControlAddress address() const;

    void send(const OutgoingMessage &message);

    /// Closes nng connections that exceed their maximum age. This replaces unresponsive connections without a need for
    /// heartbeats.
    void tick(SteadyTime now);

private:
    using Udp = asio::ip::udp;

    Task<> receiveLoop();
    void sendDatagram(const tcp::endpoint &peer, const std::string &bytes);
    void sendOverConnection(const ControlAddress &to, const tcp::endpoint &peer, const std::string &bytes);
    void receiveOverConnection(const std::string &bytes);

    asio::io_context &m_context;
    MetricsRegistry &m_metrics;
    Handler m_handler;
    Udp::socket m_udp;
    NngReceiver m_receiver;
    ControlAddress m_address;
    std::map<ControlAddress, std::unique_ptr<NngSender>> m_senders;
};

} // namespace Cardamomhill
