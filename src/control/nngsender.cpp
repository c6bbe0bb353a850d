#include "control/nngsender.h"

#include "control/nngurl.h"

#include <nng/protocol/pipeline0/push.h>

namespace Cardamomhill
{

namespace
{

constexpr int MaxQueuedMessages = 64;

} // namespace

NngSender::NngSender(const tcp::endpoint &peer, SteadyTime now)
    : m_openedAt(now)
{
    m_isOpen = nng_push0_open(&m_socket) == 0 && nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, MaxQueuedMessages) == 0
        && nng_dial(m_socket, nngUrl(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
}

NngSender::~NngSender()
{
    nng_close(m_socket);
}

bool NngSender::send(std::string_view bytes)
{
    if (!m_isOpen) {
        return false;
    }
    // The cast is safe: nng copies the bytes and does not modify them.
    return nng_send(m_socket, const_cast<char *>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
}

SteadyTime NngSender::openedAt() const
{
    return m_openedAt;
}

} // namespace Cardamomhill
