#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// The target of a request to a store, read as web servers do: a fragment is cut off, escapes are decoded, and a plus
/// in the query is a blank.
struct StoreTarget {
    explicit StoreTarget(std::string_view target);

    /// A number in the query, or the default.
    std::uint64_t number(const std::string &field, std::uint64_t defaultValue) const;

    /// Not decoded.
    std::string path;
    /// Decoded parts of a path /objects/KIND/NAME. Both are empty for another path, and the name for /objects/KIND.
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
};

} // namespace Cardamomhill
