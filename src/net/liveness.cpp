#include "net/liveness.h"

#include <netinet/tcp.h>

namespace Cardamomhill
{

namespace
{

/// A connection counts as idle after this time and is probed at this interval.
constexpr int ProbeSeconds = 1;
/// Probes without an answer that break the connection; one lost packet does not.
constexpr int UnansweredProbes = 2;
/// Longest time that sent data may stay unacknowledged.
constexpr int AcknowledgementMs = 2000;

template<int Level, int Name>
void setOption(tcp::socket &socket, int value)
{
    // Best effort: the connection works without the option.
    SystemError ignored;
    socket.set_option(asio::detail::socket_option::integer<Level, Name>(value), ignored);
}

} // namespace

void detectSilence(tcp::socket &socket)
{
    setOption<SOL_SOCKET, SO_KEEPALIVE>(socket, 1);
    setOption<IPPROTO_TCP, TCP_KEEPIDLE>(socket, ProbeSeconds);
    setOption<IPPROTO_TCP, TCP_KEEPINTVL>(socket, ProbeSeconds);
    setOption<IPPROTO_TCP, TCP_KEEPCNT>(socket, UnansweredProbes);
    setOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, AcknowledgementMs);
}

} // namespace Cardamomhill
