#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// An organisation as a configuration document states it.
struct DocumentOrganisation {
    OrganisationId id;
    std::optional<std::uint32_t> priority;
    /// In the order of the document. Never printed.
    std::vector<std::string> keys;
};

} // namespace Cardamomhill
