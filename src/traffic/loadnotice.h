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

/// What an entry host tells the others: its calls in progress, and which servers are slow.
struct LoadNotice {
    static constexpr std::uint8_t CurrentFormat = 1;

    std::uint8_t format = CurrentFormat;
    std::string host;
    std::string failureDomain;
    /// Differs between processes of a host.
    std::uint64_t incarnation = 0;
    /// Grows with each notice of an incarnation.
    std::uint64_t sequence = 0;
    std::vector<std::pair<ServerKey, std::uint32_t>> calls;
    /// Slow ranks of the groups that the host coordinates, and how many times longer than usual their work takes.
    std::vector<std::pair<ServerKey, float>> slowRanks;

    MSGPACK_DEFINE_ARRAY(format, host, failureDomain, incarnation, sequence, calls, slowRanks)
};

std::string packNotice(const LoadNotice &notice);

/// Nothing if the bytes are no notice of a known format.
std::optional<LoadNotice> unpackNotice(std::string_view bytes);

} // namespace Cardamomhill
