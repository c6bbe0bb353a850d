#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// What an HTTP server did since its start to stay within its limits.
struct HttpServerCounts {
    /// Requests refused because there was no memory for their bodies.
    std::uint64_t refusedBodies = 0;
    /// Bodies dropped before their end, because others needed their memory.
    std::uint64_t droppedBodies = 0;
    /// Requests answered without reading their bodies, because their heads decided the answer.
    std::uint64_t skippedBodies = 0;
    /// Connections closed when they were accepted, because no other could be closed for them.
    std::uint64_t refusedConnections = 0;
    /// Waiting connections closed for new ones.
    std::uint64_t displacedConnections = 0;

    /// How often an answer found no memory to be held in.
    std::uint64_t refusedAnswers = 0;
    /// Answers that were ended because others needed their memory and their callers had stopped reading.
    std::uint64_t displacedAnswers = 0;

    bool operator==(const HttpServerCounts &) const = default;
};

} // namespace Cardamomhill
