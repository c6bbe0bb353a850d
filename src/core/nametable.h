#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// An enumerator and its name.
template<class Enum>
struct NamedValue {
    Enum value;
    std::string_view name;
};

/// The name of an enumerator. The enumeration's namespace provides `constexpr auto nameTable(Enum)`, which
/// returns an array of NamedValue<Enum>.
template<class Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &row : nameTable(Enum{})) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unnamed";
}

/// The enumerator with the given name, or std::nullopt.
template<class Enum>
constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (const auto &row : nameTable(Enum{})) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// All names of an enumeration, separated by commas, for error messages about invalid values.
template<class Enum>
std::string acceptedNames()
{
    std::string names;
    for (const auto &row : nameTable(Enum{})) {
        if (!names.empty()) {
            names += ", ";
        }
        names += row.name;
    }
    return names;
}

} // namespace Cardamomhill
