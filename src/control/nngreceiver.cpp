#include "control/nngreceiver.h"

#include "control/nngurl.h"

#include <nng/protocol/pipeline0/pull.h>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t MaxMessageBytes = 8 * 1024 * 1024;

} // namespace

NngReceiver::NngReceiver(asio::io_context &context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
{
}

NngReceiver::~NngReceiver()
{
    if (m_aio != nullptr) {
        // Waits for a running callback to return.
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
    nng_close(m_socket);
}

Result<void, NetError> NngReceiver::listen(const tcp::endpoint &endpoint)
{
    int error = nng_pull0_open(&m_socket);
    if (error == 0) {
        error = nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    }
    if (error == 0) {
        error = nng_listen(m_socket, nngUrl(endpoint).c_str(), nullptr, 0);
    }
    if (error == 0) {
        error = nng_aio_alloc(&m_aio, &NngReceiver::onReceived, this);
    }
    if (error != 0) {
        return failure(NetError{NetErrorCode::AddressInUse, nng_strerror(error)});
    }
    nng_recv_aio(m_socket, m_aio);
    return success();
}

void NngReceiver::onReceived(void *self)
{
    auto &receiver = *static_cast<NngReceiver *>(self);
    if (nng_aio_result(receiver.m_aio) != 0) {
        // The socket is being closed.
        return;
    }
    nng_msg *message = nng_aio_get_msg(receiver.m_aio);
    std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    asio::post(receiver.m_context,
               [&receiver, received = std::move(bytes)]() mutable { receiver.m_handler(std::move(received)); });
    nng_recv_aio(receiver.m_socket, receiver.m_aio);
}

} // namespace Cardamomhill
