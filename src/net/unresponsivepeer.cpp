#include "net/unresponsivepeer.h"

#include <netinet/tcp.h>

namespace Cardamomhill
{

namespace
{

/// Idle time before the first keep-alive probe, and interval between probes.
constexpr int ProbeIntervalSeconds = 1;
/// Number of unanswered probes after which the connection is broken. Two, so that one lost packet does not break it.
constexpr int MaxUnansweredProbes = 2;
/// Longest time that sent data may remain unacknowledged by the peer.
constexpr int UnacknowledgedTimeoutMs = 2000;

template<int Level, int Name>
void setOption(tcp::socket &socket, int value)
{
    // Errors are ignored, since the connection works without the option.
    SystemError ignored;
    socket.set_option(asio::detail::socket_option::integer<Level, Name>(value), ignored);
}

} // namespace

void detectUnresponsivePeer(tcp::socket &socket)
{
    setOption<SOL_SOCKET, SO_KEEPALIVE>(socket, 1);
    setOption<IPPROTO_TCP, TCP_KEEPIDLE>(socket, ProbeIntervalSeconds);
    setOption<IPPROTO_TCP, TCP_KEEPINTVL>(socket, ProbeIntervalSeconds);
    setOption<IPPROTO_TCP, TCP_KEEPCNT>(socket, MaxUnansweredProbes);
    setOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, UnacknowledgedTimeoutMs);
}

} // namespace Cardamomhill
