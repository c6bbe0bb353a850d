#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Names an expert map. The digest tells apart two maps that two planners gave the same version.
struct ExpertMapId {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const ExpertMapId &) const = default;

    MSGPACK_DEFINE_ARRAY(version, digest)
};

} // namespace Cardamomhill
