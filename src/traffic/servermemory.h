#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// The key-value cache of a model engine and what is known of its use.
struct ServerMemory {
    std::uint64_t capacityTokens = 0;
    /// Mean tokens of a call.
    std::uint64_t meanPromptTokens = 0;
    std::uint64_t meanAnswerTokens = 0;
    /// Calls in progress there, of all entry hosts.
    double calls = 0;
};

} // namespace Cardamomhill
