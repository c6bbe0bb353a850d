#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The whole answer of a non-idempotent request, as the execution registry keeps it.
struct RecordedAnswer {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    MSGPACK_DEFINE_ARRAY(status, contentType, body)
};

} // namespace Cardamomhill
