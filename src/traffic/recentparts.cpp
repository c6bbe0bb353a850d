#include "traffic/recentparts.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

RecentParts::RecentParts(std::size_t maxParts)
    : m_maxPartsPerGeneration(std::max<std::size_t>(maxParts / 2, 1))
{
}

void RecentParts::record(const std::string &part, SteadyTime now)
{
    const bool isFull = m_newer.size() >= m_maxPartsPerGeneration;
    if (isFull && !m_newer.contains(part)) {
        m_older = std::exchange(m_newer, {});
    }
    m_newer[part] = now;
}

std::optional<SteadyTime> RecentParts::seenAt(const std::string &part) const
{
    const auto newer = m_newer.find(part);
    if (newer != m_newer.end()) {
        return newer->second;
    }
    const auto older = m_older.find(part);
    return older == m_older.end() ? std::nullopt : std::optional(older->second);
}

bool RecentParts::erase(const std::string &part)
{
    return m_newer.erase(part) + m_older.erase(part) > 0;
}

void RecentParts::discardBefore(SteadyTime oldest)
{
    const auto isOld = [oldest](const auto &entry) { return entry.second < oldest; };
    std::erase_if(m_newer, isOld);
    std::erase_if(m_older, isOld);
}

} // namespace Cardamomhill
