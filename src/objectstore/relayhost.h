#pragma once

#include <string>

namespace Cardamomhill
{

/// A host through which others may follow the store.
struct RelayHost {
    std::string name;
    /// Of its port for other entry hosts, such as "192.0.2.7:7400".
    std::string address;

    bool operator==(const RelayHost &) const = default;
};

} // namespace Cardamomhill
