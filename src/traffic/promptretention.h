#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// How long an engine holds the prompt of a call.
enum class PromptRetention : std::uint8_t {
    /// While a call with the prompt runs there.
    Running,
    /// Until other prompts need the space.
    Cached,
};

constexpr auto nameTable(PromptRetention)
{
    return std::to_array<NamedValue<PromptRetention>>({
        {PromptRetention::Running, "running"},
        {PromptRetention::Cached, "cached"},
    });
}

} // namespace Cardamomhill
