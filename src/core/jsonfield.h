#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cardamomhill
{

/// The string in a field of a JSON object. Empty if the value is no object, or the field is missing or no string.
inline std::string jsonString(const nlohmann::json &value, const char *field)
{
    const auto found = value.is_object() ? value.find(field) : value.end();
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace Cardamomhill
