#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Cancels an attempt whose caller has closed its connection.
struct Cancel {
    std::uint64_t attempt = 0;

    MSGPACK_DEFINE_ARRAY(attempt)
};

} // namespace Cardamomhill
