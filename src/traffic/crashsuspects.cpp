#include "traffic/crashsuspects.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Cardamomhill
{

namespace
{

/// Trimming sorts all suspects, so they are collected up to a multiple of the limit first.
constexpr std::size_t TrimFactor = 2;

} // namespace

CrashSuspects::CrashSuspects(std::size_t maxSuspects)
    : m_maxSuspects(maxSuspects)
{
}

void CrashSuspects::add(std::string_view part, std::uint32_t position, bool isKnownSound)
{
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end()) {
        found->second.position = std::max(found->second.position, position);
        return;
    }
    m_suspects.emplace(part, PromptSuspect{std::string(part), position, isKnownSound});
    if (m_suspects.size() > TrimFactor * m_maxSuspects) {
        trim();
    }
}

std::vector<PromptSuspect> CrashSuspects::ranked() const
{
    std::vector<PromptSuspect> suspects;
    suspects.reserve(m_suspects.size());
    for (const auto &[part, suspect] : m_suspects) {
        suspects.push_back(suspect);
    }
    // By the name last, so that all hosts keep the same ones.
    std::sort(suspects.begin(), suspects.end(), [](const PromptSuspect &left, const PromptSuspect &right) {
        return std::tuple(left.isKnownSound, right.position, left.part)
            < std::tuple(right.isKnownSound, left.position, right.part);
    });
    suspects.resize(std::min(suspects.size(), m_maxSuspects));
    return suspects;
}

void CrashSuspects::trim()
{
    auto kept = ranked();
    m_suspects.clear();
    for (auto &suspect : kept) {
        const auto part = suspect.part;
        m_suspects.emplace(part, std::move(suspect));
    }
}

} // namespace Cardamomhill
