#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// A child in a fan-out tree and the members that it forwards a message to, as hashes of host names.
struct FanOutBranch {
    std::uint64_t child = 0;
    std::vector<std::uint64_t> subtree;
};

/// Splits the receivers of a message into the branches of a tree. The message lists the receivers of its subtree, so
/// that none is left out when hosts have different views of the membership.
class FanOutTree
{
public:
    static constexpr std::size_t FanOut = 8;

    /// At most FanOut branches whose sizes differ by at most one member.
    static std::vector<FanOutBranch> split(const std::vector<std::uint64_t> &members);
};

} // namespace Cardamomhill
