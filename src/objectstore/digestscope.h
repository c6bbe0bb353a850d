#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Which objects a configuration digest covers.
enum class DigestScope : std::uint8_t {
    /// All objects, which entry processes keep.
    All,
    /// All objects except organisations, which agents do not keep.
    WithoutOrganisations,
};

constexpr auto nameTable(DigestScope)
{
    return std::to_array<NamedValue<DigestScope>>({
        {DigestScope::All, "all"},
        {DigestScope::WithoutOrganisations, "without-organisations"},
    });
}

} // namespace Cardamomhill
