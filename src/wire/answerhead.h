#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The payload of the Head frame of an answer.
struct AnswerHead {
    std::uint16_t status = 0;
    std::string contentType;
    /// The answer is the recorded one of an earlier execution with the same idempotency key.
    bool replayed = false;

    MSGPACK_DEFINE_ARRAY(status, contentType, replayed)
};

} // namespace Cardamomhill
