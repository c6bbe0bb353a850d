#include "traffic/promptoutline.h"

#include "core/hash.h"

#include <algorithm>

namespace Cardamomhill
{

PromptOutline promptOutlineOf(const std::vector<PromptPart> &sharedParts, std::uint64_t tokens)
{
    PromptOutline outline;
    PromptPrefix prefix;
    for (const auto &part : sharedParts) {
        prefix.key = combineHashes(prefix.key, hash64(part.id, part.tokens));
        prefix.tokens += part.tokens;
        // A server that holds a part of unknown length saves nothing that could be counted.
        if (part.tokens > 0) {
            outline.prefixes.push_back(prefix);
        }
    }
    outline.tokens = std::max(tokens, prefix.tokens);
    return outline;
}

} // namespace Cardamomhill
