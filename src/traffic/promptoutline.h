#pragma once

#include "traffic/promptpart.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// A beginning of a prompt: all its parts up to a certain one.
struct PromptPrefix {
    /// A hash of the ids and lengths of these parts. If two prefixes have the same hash, an estimate is wrong.
    std::uint64_t key = 0;
    std::uint64_t tokens = 0;

    bool operator==(const PromptPrefix &) const = default;
};

/// The prompt of a call, reduced to what tells whether a server holds its beginning.
struct PromptOutline {
    /// Those that other calls may share, from the shortest to the longest.
    std::vector<PromptPrefix> prefixes;
    std::uint64_t tokens = 0;

    /// Tokens that other calls may share.
    std::uint64_t sharedTokens() const
    {
        return prefixes.empty() ? 0 : prefixes.back().tokens;
    }
};

/// @param sharedParts all parts but the last one, in order
/// @param tokens of the whole prompt
PromptOutline promptOutlineOf(const std::vector<PromptPart> &sharedParts, std::uint64_t tokens);

} // namespace Cardamomhill
