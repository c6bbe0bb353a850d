#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The complete answer to a non-idempotent request, as stored in the execution registry.
struct RecordedAnswer {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    MSGPACK_DEFINE_ARRAY(status, contentType, body)
};

} // namespace Cardamomhill
