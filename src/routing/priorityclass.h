#pragma once

#include "core/nametable.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// The priority class of a profile. It determines what fraction of its organisation's share, and of the unused shares
/// of others, a request may use.
enum class PriorityClass : std::uint8_t {
    /// A user waits for the answer.
    Interactive,
    Standard,
    /// Refused first under load.
    Batch,
};

constexpr std::size_t PRIORITY_CLASS_COUNT = 3;

constexpr auto nameTable(PriorityClass)
{
    return std::to_array<NamedValue<PriorityClass>>({
        {PriorityClass::Interactive, "interactive"},
        {PriorityClass::Standard, "standard"},
        {PriorityClass::Batch, "batch"},
    });
}

} // namespace Cardamomhill
