#pragma once

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>

namespace Cardamomhill
{

/// The value of a JSON number if it is whole and fits the type. nlohmann::json::get() converts any number without a
/// check: -1 becomes the greatest value, and a number that is too large becomes a small one.
template<std::unsigned_integral Number>
std::optional<Number> wholeNumber(const nlohmann::json &value)
{
    /// Up to here a double represents every whole number.
    constexpr double MaxExactDouble = 9007199254740992.0;
    std::uint64_t number = 0;
    if (value.is_number_integer() && (value.is_number_unsigned() || value.get<std::int64_t>() >= 0)) {
        number = value.get<std::uint64_t>();
    } else if (value.is_number_float()) {
        const auto real = value.get<double>();
        if (!(real >= 0 && real <= MaxExactDouble) || real != std::floor(real)) {
            return std::nullopt;
        }
        number = static_cast<std::uint64_t>(real);
    } else {
        return std::nullopt;
    }
    return number <= std::numeric_limits<Number>::max() ? std::optional(static_cast<Number>(number)) : std::nullopt;
}

} // namespace Cardamomhill
