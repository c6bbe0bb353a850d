#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Which objects a configuration digest covers.
enum class DigestScope : std::uint8_t {
    /// Everything, as entry processes keep it.
    All,
    /// Everything but organisations, as agents keep it.
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
