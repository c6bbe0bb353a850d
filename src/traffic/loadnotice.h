#pragma once

#include "traffic/serverloads.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// A message of an entry host to the others, with its calls in progress and the slow servers that it knows.
struct LoadNotice {
    static constexpr std::uint8_t CurrentFormat = 1;

    std::uint8_t format = CurrentFormat;
    std::string host;
    std::string failureDomain;
    /// Identifies the process: differs between successive processes of a host.
    std::uint64_t incarnation = 0;
    /// Grows with each notice of the same incarnation.
    std::uint64_t sequence = 0;
    std::vector<std::pair<ServerKey, std::uint32_t>> calls;
    /// Slow ranks of the groups that the host coordinates, each with its factor as in SlowdownFactors.
    std::vector<std::pair<ServerKey, float>> slowRanks;

    MSGPACK_DEFINE_ARRAY(format, host, failureDomain, incarnation, sequence, calls, slowRanks)
};

std::string packNotice(const LoadNotice &notice);

/// Returns nothing if the bytes are not a valid notice of the current format.
std::optional<LoadNotice> unpackNotice(std::string_view bytes);

} // namespace Cardamomhill
