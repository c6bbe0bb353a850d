#pragma once

#include "traffic/promptsuspect.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// The parts of the prompts that one process was about to answer when its connections broke.
///
/// Their number is limited. Beyond the limit the parts that are the least likely to be the cause are left out: those
/// under which answers went on, and of the others those that stand first in their prompts.
class CrashSuspects
{
public:
    /// More than a head of 16 KB can name.
    static constexpr std::size_t DefaultMaxSuspects = 4096;

    explicit CrashSuspects(std::size_t maxSuspects = DefaultMaxSuspects);

    void add(std::string_view part, std::uint32_t position, bool isKnownSound);

    /// All suspects, the most likely cause first.
    std::vector<PromptSuspect> ranked() const;

private:
    /// Drops the least likely ones beyond the limit.
    void trim();

    std::size_t m_maxSuspects;
    std::map<std::string, PromptSuspect, std::less<>> m_suspects;
};

} // namespace Cardamomhill
