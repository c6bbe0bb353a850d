#pragma once

#include "config/configerrorcode.h"

#include <string>
#include <vector>

namespace Cardamomhill
{

/// One mistake in a configuration object.
struct ConfigError {
    ConfigErrorCode code = ConfigErrorCode::MalformedJson;
    /// "kind/name" of the object.
    std::string object;
    std::string field;
    /// What would have been accepted.
    std::string accepted;

    std::string message() const;

    bool operator==(const ConfigError &) const = default;
};

/// All mistakes of one object, so that an operator can mend them in one go.
using ConfigErrors = std::vector<ConfigError>;

} // namespace Cardamomhill
