#include "membership/fanouttree.h"

#include <algorithm>

namespace Cardamomhill
{

std::vector<FanOutBranch> FanOutTree::split(const std::vector<std::uint64_t> &members)
{
    std::vector<FanOutBranch> branches;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (index < FanOut) {
            branches.push_back(FanOutBranch{members.at(index), {}});
        } else {
            branches.at(index % FanOut).subtree.push_back(members.at(index));
        }
    }
    return branches;
}

} // namespace Cardamomhill
