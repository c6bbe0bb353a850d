#pragma once

#include <string>

namespace Cardamomhill
{

/// The entry of the same document because of which a finding's entry has no effect.
struct OtherEntry {
    std::string path;

    bool operator==(const OtherEntry &) const = default;
};

} // namespace Cardamomhill
