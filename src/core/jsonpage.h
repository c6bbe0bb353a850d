#pragma once

#include "core/jsonerror.h"
#include "core/result.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// Names within a page that is to be split.
struct JsonPageNames {
    /// The array of elements; the first member of one of these names.
    std::vector<std::string_view> arrays;
    /// Members of an element. Where the structure of an element is broken, the next one is found by a bracket that one
    /// of these names follows.
    std::vector<std::string_view> elementMembers;
};

/// A JSON object with an array whose elements come from different writers. An element that cannot be parsed does not
/// affect the others.
struct JsonPage {
    /// The other members of the object.
    nlohmann::json envelope;
    /// The texts of the elements, which are not parsed. They refer to the text of the page.
    std::vector<std::string_view> elements;
};

/// Splits a page into its elements. Fails only if the other members cannot be parsed or found.
Result<JsonPage, JsonError> splitPage(std::string_view text, const JsonPageNames &names);

} // namespace Cardamomhill
