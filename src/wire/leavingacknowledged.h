#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Reply to LeavingNotice.
struct LeavingAcknowledged {
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_ARRAY(incarnation)
};

} // namespace Cardamomhill
