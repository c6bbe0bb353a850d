#pragma once

#include <string>

namespace Cardamomhill
{

/// A value that contradicts a limit.
struct LimitConflict {
    std::string value;
    std::string limit;
    /// The field that states the limit; empty if the settings of the process do.
    std::string limitPath;

    bool operator==(const LimitConflict &) const = default;
};

} // namespace Cardamomhill
