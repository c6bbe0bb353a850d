#pragma once

#include "traffic/promptsuspect.h"

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// What one entry host knows of the crash of a backend server. Other hosts may report the same crash.
struct CrashReport {
    /// Identifies the process that crashed.
    std::uint64_t process = 0;
    std::vector<PromptSuspect> suspects;

    MSGPACK_DEFINE_ARRAY(process, suspects)
};

} // namespace Cardamomhill
