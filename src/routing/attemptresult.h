#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What the end of an attempt says about the health of its backend server.
enum class AttemptResult : std::uint8_t {
    Success,
    Failure,
    /// No information: the caller disconnected, or the server refused the request with a regular answer.
    Neutral,
};

constexpr auto nameTable(AttemptResult)
{
    return std::to_array<NamedValue<AttemptResult>>({
        {AttemptResult::Success, "success"},
        {AttemptResult::Failure, "failure"},
        {AttemptResult::Neutral, "neutral"},
    });
}

} // namespace Cardamomhill
