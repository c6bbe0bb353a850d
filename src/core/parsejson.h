#pragma once

#include "core/jsonerror.h"
#include "core/result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace Cardamomhill
{

/// Deepest nesting that is accepted. Documents of the platform and of this project have fewer than ten levels.
constexpr std::size_t MaxJsonDepth = 64;

/// Parses a text that was written outside this process. All such texts are parsed here, because dumping, copying and
/// comparing nlohmann::json recurse once a level and would exhaust the stack if the depth had no limit.
Result<nlohmann::json, JsonError> parseJson(std::string_view text);

} // namespace Cardamomhill
