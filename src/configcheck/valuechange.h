#pragma once

#include <string>

namespace Cardamomhill
{

/// A value in the version that a document is compared with, and in the document.
struct ValueChange {
    std::string oldValue;
    std::string newValue;

    bool operator==(const ValueChange &) const = default;
};

} // namespace Cardamomhill
