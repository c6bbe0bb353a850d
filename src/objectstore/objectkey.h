#pragma once

#include <compare>
#include <functional>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Identifies one object of the platform's object API, such as kind "profiles" and name "chat".
struct ObjectKey {
    std::string kind;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;

    MSGPACK_DEFINE_ARRAY(kind, name)
};

} // namespace Cardamomhill

template<>
struct std::hash<Cardamomhill::ObjectKey> {
    std::size_t operator()(const Cardamomhill::ObjectKey &key) const
    {
        return std::hash<std::string>()(key.kind) * 31 + std::hash<std::string>()(key.name);
    }
};
