#include "gateway/hostlimits.h"

#include "gateway/gatewaysettings.h"
#include "traffic/callerlimits.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// The fractions of the host's memory that answers that are held and the queues of the connections may take beside the
/// bodies of requests. The rest is for the connections themselves and for what the process knows of servers and other
/// hosts.
constexpr std::size_t AnswerMemoryDivisor = 8;
constexpr std::size_t QueueMemoryDivisor = 8;
constexpr std::size_t BytesPerMegabyte = 1024 * 1024;
/// Less would slow down answers to callers that read.
constexpr std::size_t MinSocketQueueBytes = 16 * 1024;
/// No limit is set from this size on, so that large hosts leave the size of queues to the kernel.
constexpr std::size_t MaxSocketQueueBytes = 1024 * 1024;
/// Descriptors for files, listening sockets and connections to the store, to other hosts and kept ones to servers.
constexpr std::size_t ReservedDescriptors = 200;
/// A call takes one descriptor for its caller and one for its server.
constexpr std::size_t DescriptorsPerCall = 2;

std::size_t memoryBytes(const GatewaySettings &settings)
{
    return settings.memoryMegabytes * BytesPerMegabyte;
}

std::size_t maxConnections(const GatewaySettings &settings)
{
    return std::min(HttpLimits().maxConnections, (settings.maxDescriptors - ReservedDescriptors) / DescriptorsPerCall);
}

} // namespace

HttpLimits httpLimitsOf(const CallerLimits &limits, const GatewaySettings &settings)
{
    HttpLimits http;
    http.maxHeaderBytes = limits.headerBytes;
    http.maxBodyBytes = limits.bodyBytes;
    http.requestTimeout = limits.requestReadTimeout;
    http.idleTimeout = limits.idleTimeout;
    http.maxTotalBodyBytes = settings.bodyBudgetBytes();
    http.maxTotalAnswerBytes = memoryBytes(settings) / AnswerMemoryDivisor;
    http.maxSendQueueBytes = socketQueueBytesOf(settings);
    http.maxConnections = maxConnections(settings);
    return http;
}

std::size_t socketQueueBytesOf(const GatewaySettings &settings)
{
    const auto share = memoryBytes(settings) / QueueMemoryDivisor / maxConnections(settings);
    return share >= MaxSocketQueueBytes ? 0 : std::max(share, MinSocketQueueBytes);
}

} // namespace Cardamomhill
