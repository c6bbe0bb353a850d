#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// The priority class of a profile. Under overload, requests of the classes listed first are admitted first.
enum class TrafficClass : std::uint8_t {
    Interactive,
    Stream,
    Batch,
};

constexpr auto nameTable(TrafficClass)
{
    return std::to_array<NamedValue<TrafficClass>>({
        {TrafficClass::Interactive, "interactive"},
        {TrafficClass::Stream, "stream"},
        {TrafficClass::Batch, "batch"},
    });
}

} // namespace Cardamomhill
