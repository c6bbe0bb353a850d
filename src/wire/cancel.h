#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Ends an attempt whose caller is gone.
struct Cancel {
    std::uint64_t attempt = 0;

    MSGPACK_DEFINE_ARRAY(attempt)
};

} // namespace Cardamomhill
