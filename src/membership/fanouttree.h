#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// One child in a fan-out tree with the members that it passes a message on to, by the hashes of their host names.
struct FanOutBranch {
    std::uint64_t child = 0;
    std::vector<std::uint64_t> rest;
};

/// Splits the receivers of a message over a tree. A sender names the receivers of each subtree in the message, so that
/// hosts with different views of the membership leave nobody out.
class FanOutTree
{
public:
    static constexpr std::size_t FanOut = 8;

    /// At most FanOut branches of equal size, give or take one member.
    static std::vector<FanOutBranch> split(const std::vector<std::uint64_t> &members);
};

} // namespace Cardamomhill
