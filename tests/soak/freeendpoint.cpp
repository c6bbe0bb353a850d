#include "soak/freeendpoint.h"

#include <unistd.h>

namespace Cardamomhill
{

namespace
{

constexpr unsigned FirstPort = 10000;
// The ports from 28000 on are those of the shell tests.
constexpr unsigned PortCount = 18000;
/// Distance between the first ports of processes with consecutive ids, so that concurrent ones try different ports.
constexpr unsigned ProcessPortStride = 37;

} // namespace

tcp::endpoint freeEndpoint(asio::io_context &context)
{
    static unsigned nextOffset = static_cast<unsigned>(getpid()) * ProcessPortStride;
    while (true) {
        const auto port = static_cast<unsigned short>(FirstPort + nextOffset++ % PortCount);
        tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        tcp::acceptor acceptor(context);
        SystemError error;
        acceptor.open(endpoint.protocol(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind(endpoint, error);
        if (!error) {
            return endpoint;
        }
    }
}

} // namespace Cardamomhill
