#include "net/listen.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Cardamomhill
{

Result<void, NetError> openListener(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool shared)
{
    SystemError error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error && shared) {
        using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(ReusePort(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(NetError{NetErrorCode::AddressInUse, error.message()});
    }
    return success();
}

void limitUnsentBytes(tcp::socket &socket, std::size_t bytes)
{
    using NotSentLowWatermark = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    SystemError ignored;
    socket.set_option(NotSentLowWatermark(static_cast<int>(bytes)), ignored);
}

} // namespace Cardamomhill
