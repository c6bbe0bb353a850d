#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Cardamomhill
{

/// A string identifier with a type of its own for each kind, so that a host cannot be passed where a service is
/// expected.
template<class Tag>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string m_value;
};

} // namespace Cardamomhill

template<class Tag>
struct std::hash<Cardamomhill::Identifier<Tag>> {
    std::size_t operator()(const Cardamomhill::Identifier<Tag> &identifier) const
    {
        return std::hash<std::string>()(identifier.value());
    }
};
