#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Cardamomhill
{

/// Parses a decimal number. Returns std::nullopt unless it is the whole text and fits the type.
template<class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const char *const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end ? std::optional(number) : std::nullopt;
}

} // namespace Cardamomhill
