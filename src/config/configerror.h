#pragma once

#include "config/configerrorcode.h"

#include <string>
#include <vector>

namespace Cardamomhill
{

/// One error in a configuration object.
struct ConfigError {
    ConfigErrorCode code = ConfigErrorCode::MalformedJson;
    /// "kind/name" of the object.
    std::string object;
    std::string field;
    /// Description of the accepted names, values or fields.
    std::string accepted;

    std::string message() const;

    bool operator==(const ConfigError &) const = default;
};

/// All errors of one object, so that an operator can correct them together.
using ConfigErrors = std::vector<ConfigError>;

} // namespace Cardamomhill
