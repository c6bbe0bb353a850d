#pragma once

#include <cstddef>
#include <string>

namespace Cardamomhill
{

/// How many API keys of an organisation differ between two documents. The keys themselves are secret.
struct KeyChange {
    std::string organisation;
    std::size_t added = 0;
    std::size_t removed = 0;

    bool operator==(const KeyChange &) const = default;
};

} // namespace Cardamomhill
