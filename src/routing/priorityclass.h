#pragma once

#include "core/nametable.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// The priority class of a profile. It decides how far a request may use its share and what others leave unused.
enum class PriorityClass : std::uint8_t {
    /// A person waits for the answer.
    Interactive,
    Standard,
    /// Refused first under pressure.
    Batch,
};

constexpr std::size_t PRIORITY_CLASSES = 3;

constexpr auto nameTable(PriorityClass)
{
    return std::to_array<NamedValue<PriorityClass>>({
        {PriorityClass::Interactive, "interactive"},
        {PriorityClass::Standard, "standard"},
        {PriorityClass::Batch, "batch"},
    });
}

} // namespace Cardamomhill
