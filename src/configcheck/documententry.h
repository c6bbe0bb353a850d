#pragma once

#include <string>

namespace Cardamomhill
{

/// An entry of a configuration document with its place there.
template<class Value>
struct DocumentEntry {
    Value value;
    /// Such as "routes[3]".
    std::string path;
    /// Whether each field could be read. The others have default values.
    bool isSound = true;
};

} // namespace Cardamomhill
