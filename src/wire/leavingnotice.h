#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Tells an entry process that the backend server takes no new work.
struct LeavingNotice {
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_ARRAY(incarnation)
};

} // namespace Cardamomhill
