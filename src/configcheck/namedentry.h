#pragma once

#include <string>

namespace Cardamomhill
{

/// The name of what a finding is about.
struct NamedEntry {
    std::string name;

    bool operator==(const NamedEntry &) const = default;
};

} // namespace Cardamomhill
