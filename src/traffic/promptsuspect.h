#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// A part of the prompt of a call that a server was about to answer when it crashed.
struct PromptSuspect {
    std::string part;
    /// Parts before it in the prompt. The later ones are shared by fewer calls.
    std::uint32_t position = 0;
    /// The host that reports it has seen an answer go on under this part.
    bool isKnownSound = false;

    MSGPACK_DEFINE_ARRAY(part, position, isKnownSound)
};

} // namespace Cardamomhill
