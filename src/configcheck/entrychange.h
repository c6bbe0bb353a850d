#pragma once

#include <string>

namespace Cardamomhill
{

/// An entry that only one of two documents has.
struct EntryChange {
    std::string name;
    /// Its fields in the version that a document is compared with; empty if it was added or has a field that could not
    /// be read.
    std::string oldValue;
    /// Its fields in the document; empty if it was removed or has a field that could not be read.
    std::string newValue;

    bool operator==(const EntryChange &) const = default;
};

} // namespace Cardamomhill
