#pragma once

#include <functional>
#include <string>

namespace Cardamomhill
{

/// The texts of a range, separated by commas, for a log line.
/// @param textOf gives the text of an element
template<class Range, class TextOf = std::identity>
std::string joined(const Range &range, TextOf textOf = {})
{
    std::string text;
    for (const auto &element : range) {
        text += text.empty() ? "" : ",";
        text += std::invoke(textOf, element);
    }
    return text;
}

} // namespace Cardamomhill
