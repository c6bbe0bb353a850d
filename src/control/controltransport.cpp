#include "control/controltransport.h"

#include "control/controladdress.h"
#include "control/nngsender.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 64 * 1024;
constexpr Seconds MaxConnectionAge{10};
/// Ends the sender's address that precedes each message on an nng connection. nng push connections are one-way, so the
/// receiver cannot learn the reply address from the connection.
constexpr char AddressEnd = '\n';

} // namespace

ControlTransport::ControlTransport(asio::io_context &context, MetricsRegistry &metrics, Handler handler)
    : m_context(context)
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_udp(context)
    , m_receiver(context, [this](const std::string &bytes) { receiveOverConnection(bytes); })
{
}

ControlTransport::~ControlTransport() = default;

Result<void, NetError> ControlTransport::listen(const tcp::endpoint &endpoint)
{
    const Udp::endpoint local(endpoint.address(), endpoint.port());
    SystemError error;
    m_udp.open(local.protocol(), error);
    if (!error) {
        m_udp.bind(local, error);
    }
    if (error) {
        return failure(NetError{NetErrorCode::AddressInUse, error.message()});
    }
    const tcp::endpoint bound(endpoint.address(), m_udp.local_endpoint().port());
    m_address = controlAddress(bound);
    BOOST_OUTCOME_TRY(m_receiver.listen(bound));
    spawn(m_context.get_executor(), "control-receive", receiveLoop());
    return success();
}

ControlAddress ControlTransport::address() const
{
    return m_address;
}

void ControlTransport::send(const OutgoingMessage &message)
{
    const auto peer = endpointOf(message.to);
    if (!peer) {
        logEvent(LogLevel::Warning, "control-address-invalid", {{"address", message.to.value()}});
        return;
    }
    m_metrics.counter("control_messages_sent_total").add();
    m_metrics.counter("control_bytes_sent_total").add(message.bytes.size());
    if (message.channel == MessageChannel::Datagram) {
        sendDatagram(*peer, message.bytes);
    } else {
        sendOverConnection(message.to, *peer, message.bytes);
    }
}

void ControlTransport::sendDatagram(const tcp::endpoint &peer, const std::string &bytes)
{
    SystemError ignored;
    m_udp.send_to(asio::buffer(bytes), Udp::endpoint(peer.address(), peer.port()), 0, ignored);
}

void ControlTransport::sendOverConnection(const ControlAddress &to, const tcp::endpoint &peer, const std::string &bytes)
{
    auto &sender = m_senders[to];
    if (!sender) {
        sender = std::make_unique<NngSender>(peer, steadyNow());
    }
    if (!sender->send(m_address.value() + AddressEnd + bytes)) {
        m_metrics.counter("control_messages_lost_total").add();
    }
}

void ControlTransport::tick(SteadyTime now)
{
    std::erase_if(m_senders, [now](const auto &entry) { return now - entry.second->openedAt() > MaxConnectionAge; });
}

Task<> ControlTransport::receiveLoop()
{
    std::string buffer(MaxDatagramBytes, '\0');
    while (m_udp.is_open()) {
        Udp::endpoint from;
        SystemError error;
        const auto size = co_await m_udp.async_receive_from(asio::buffer(buffer), from, storeError(error));
        if (!error) {
            m_metrics.counter("control_bytes_received_total").add(size);
            m_handler(controlAddress({from.address(), from.port()}), std::string_view(buffer).substr(0, size));
        }
    }
}

void ControlTransport::receiveOverConnection(const std::string &bytes)
{
    const auto end = bytes.find(AddressEnd);
    if (end == std::string::npos) {
        logEvent(LogLevel::Warning, "control-message-malformed", {{"bytes", bytes.size()}});
        return;
    }
    m_metrics.counter("control_bytes_received_total").add(bytes.size());
    m_handler(ControlAddress(bytes.substr(0, end)), std::string_view(bytes).substr(end + 1));
}

} // namespace Cardamomhill
