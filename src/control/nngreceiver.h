#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"

#include <functional>
#include <string>

#include <nng/nng.h>

namespace Cardamomhill
{

/// Receives one-way messages from any number of peers (nng pull protocol) and calls the handler on the thread of an
/// io_context.
class NngReceiver
{
public:
    using Handler = std::function<void(std::string)>;

    NngReceiver(asio::io_context &context, Handler handler);
    ~NngReceiver();
    NngReceiver(const NngReceiver &) = delete;
    NngReceiver &operator=(const NngReceiver &) = delete;

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

private:
    static void onReceived(void *self);

    asio::io_context &m_context;
    Handler m_handler;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
};

} // namespace Cardamomhill
