#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Identifies an expert map. The digest distinguishes maps to which two planners gave the same version.
struct ExpertMapId {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const ExpertMapId &) const = default;

    MSGPACK_DEFINE_ARRAY(version, digest)
};

} // namespace Cardamomhill
