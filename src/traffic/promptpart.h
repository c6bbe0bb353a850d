#pragma once

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// A part of a call's prompt. Parts with the same id and number of tokens have the same text.
struct PromptPart {
    std::string id;
    /// 0 if the caller stated no valid number, or if it is unknown where in the prompt the part is.
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

} // namespace Cardamomhill
