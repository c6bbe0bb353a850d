#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"

#include <string_view>

#include <nng/nng.h>

namespace Cardamomhill
{

/// Sends one-way messages to one peer (nng push protocol). Never blocks: a message that does not fit into the send
/// queue is dropped, which the protocols on top tolerate.
class NngSender
{
public:
    NngSender(const tcp::endpoint &peer, SteadyTime now);
    ~NngSender();
    NngSender(const NngSender &) = delete;
    NngSender &operator=(const NngSender &) = delete;

    /// Returns whether the message was queued.
    bool send(std::string_view bytes);

    SteadyTime openedAt() const;

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    SteadyTime m_openedAt;
    bool m_isOpen = false;
};

} // namespace Cardamomhill
