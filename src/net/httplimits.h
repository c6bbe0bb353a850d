#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Limits of an HTTP server: the last three for all its connections together, the others for each.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    /// Longest time from the first byte of a request to its last, a limit on slow senders.
    Milliseconds requestTimeout{10'000};
    /// Longest time that a connection may stay open without a request.
    Milliseconds idleTimeout{60'000};
    /// Longest time for one write, a limit on callers that stop reading.
    Seconds writeTimeout{30};
    /// Bytes that may wait in the send queue of a connection without having been sent; 0 for no limit.
    std::size_t maxSendQueueBytes = 0;
    /// Largest number of open connections.
    std::size_t maxConnections = 4096;
    /// Largest number of bytes of all request bodies together. The default allows for 4 MiB on each of 4096
    /// connections.
    std::size_t maxTotalBodyBytes = std::size_t{16} * 1024 * 1024 * 1024;
    /// Largest number of bytes that all answers together may hold for their callers. The default allows for two answers
    /// of 256 KiB on each of 4096 connections.
    std::size_t maxTotalAnswerBytes = std::size_t{2} * 1024 * 1024 * 1024;
};

/// Limits of a server whose requests have no bodies.
inline HttpLimits bodilessLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 4 * 1024;
    limits.maxTotalBodyBytes = std::size_t{1024} * 1024;
    return limits;
}

} // namespace Cardamomhill
