#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cardamomhill
{

/// Remembers when parts of prompts were last seen. Keeps a limited number of them: at least half of the limit, and
/// always those that were seen last.
class RecentParts
{
public:
    explicit RecentParts(std::size_t maxParts);

    void record(const std::string &part, SteadyTime now);
    std::optional<SteadyTime> seenAt(const std::string &part) const;
    /// Returns whether the part was known.
    bool erase(const std::string &part);
    void discardBefore(SteadyTime oldest);

private:
    using Times = std::unordered_map<std::string, SteadyTime>;

    std::size_t m_maxPartsPerGeneration;
    /// New parts go to m_newer. Once it is full it replaces m_older, whose parts are forgotten.
    Times m_newer;
    Times m_older;
};

} // namespace Cardamomhill
