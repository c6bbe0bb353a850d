#pragma once

#include "config/configerror.h"
#include "core/identifiers.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// A customer of the operating company.
struct Organisation {
    OrganisationId id;
    /// SHA-256 of each bearer token in lower-case hexadecimal. The tokens themselves are never stored.
    std::vector<std::string> tokenHashes;
    /// Relative share of a node's concurrency under overload.
    std::uint32_t weight = 1;

    bool operator==(const Organisation &) const = default;
};

/// Parses an organisation from the JSON value of its platform object.
Result<Organisation, ConfigErrors> parseOrganisation(const std::string &name, std::string_view json);

} // namespace Cardamomhill
