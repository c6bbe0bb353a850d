#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// The organisation that an API key belongs to.
struct ApiKeyOwner {
    OrganisationId organisation;
    /// Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
};

} // namespace Cardamomhill
