#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// The organisation that holds a key.
struct KeyHolder {
    OrganisationId organisation;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
};

} // namespace Cardamomhill
