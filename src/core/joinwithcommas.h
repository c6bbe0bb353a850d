#pragma once

#include <functional>
#include <string>

namespace Cardamomhill
{

/// Joins the texts of a range's elements with commas, for a log line.
/// @param textOf returns the text of an element
template<class Range, class TextOf = std::identity>
std::string joinWithCommas(const Range &range, TextOf textOf = {})
{
    std::string text;
    for (const auto &element : range) {
        text += text.empty() ? "" : ",";
        text += std::invoke(textOf, element);
    }
    return text;
}

} // namespace Cardamomhill
