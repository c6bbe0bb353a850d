#pragma once

#include <string>

namespace Cardamomhill
{

/// A host that other hosts may ask for the changes in the store, instead of the store itself.
struct RelayHost {
    std::string name;
    /// Address and port for other entry hosts, such as "192.0.2.7:7400".
    std::string address;

    bool operator==(const RelayHost &) const = default;
};

} // namespace Cardamomhill
