#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Counts requests and how many of them were served, and checks that no class of them is served less than a quarter as
/// often as requests overall.
class ServedShare
{
public:
    /// @param classes what the request counts for, such as its kind and its organisation
    void add(const std::vector<std::string> &classes, bool isServed);

    std::vector<std::string> violations() const;
    std::size_t requestCount() const;
    std::size_t servedCount() const;

private:
    struct Count {
        std::size_t requests = 0;
        std::size_t served = 0;
    };

    Count m_all;
    std::map<std::string, Count> m_classes;
};

} // namespace Cardamomhill
