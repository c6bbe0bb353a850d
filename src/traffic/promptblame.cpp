#include "traffic/promptblame.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <tuple>

namespace Cardamomhill
{

namespace
{

/// Crashes that are kept for each part; more add nothing to the verdict.
constexpr std::size_t MaxCrashesPerPart = 16;
/// A block that another host announces does not outweigh an answer that went on this short ago and after all crashes
/// that were reported.
constexpr Seconds SoundPrecedence{5};
constexpr Seconds DiscardInterval{1};

} // namespace

std::uint32_t PromptBlame::Suspicion::count() const
{
    return static_cast<std::uint32_t>(
        std::count_if(crashes.begin(), crashes.end(), [](const Crash &crash) { return crash.isCounted; }));
}

PromptBlame::PromptBlame(PromptBlameOptions options)
    : m_options(options)
    , m_soundAt(options.maxKnownSound)
{
}

void PromptBlame::recordCrash(std::uint64_t process, const std::vector<PromptSuspect> &suspects, SteadyTime now)
{
    m_reportedAt = now;
    const bool hasBlockedPart = std::any_of(
        suspects.begin(), suspects.end(), [&](const PromptSuspect &suspect) { return isBlocked(suspect.part, now); });
    if (hasBlockedPart) {
        explain(process, now);
    }
    if (m_explained.contains(process)) {
        return;
    }
    for (const auto &suspect : suspects) {
        auto &suspicion = m_suspicions[suspect.part];
        suspicion.position = std::max(suspicion.position, suspect.position);
        suspicion.isKnownSound = suspicion.isKnownSound || suspect.isKnownSound || isKnownSound(suspect.part);
        addCrash(suspicion, process, now);
    }
    limitSuspicions();
}

void PromptBlame::limitSuspicions()
{
    if (m_suspicions.size() <= m_options.maxSuspects) {
        return;
    }
    // By the name last, so that all hosts forget the same ones.
    using Strength = std::tuple<std::uint32_t, SteadyTime, std::string_view>;
    std::vector<Strength> strengths;
    strengths.reserve(m_suspicions.size());
    for (const auto &[part, suspicion] : m_suspicions) {
        strengths.emplace_back(suspicion.count(), suspicion.countedAt, part);
    }
    const auto weakestKept = strengths.begin() + static_cast<std::ptrdiff_t>(strengths.size() - m_options.maxSuspects);
    std::nth_element(strengths.begin(), weakestKept, strengths.end());
    std::for_each(strengths.begin(), weakestKept, [this](const Strength &strength) {
        m_suspicions.erase(std::string(std::get<std::string_view>(strength)));
    });
}

void PromptBlame::addCrash(Suspicion &suspicion, std::uint64_t process, SteadyTime now) const
{
    auto &crashes = suspicion.crashes;
    const bool isKnown = std::any_of(
        crashes.begin(), crashes.end(), [process](const Crash &crash) { return crash.process == process; });
    if (isKnown || crashes.size() >= MaxCrashesPerPart) {
        return;
    }
    const bool isCounted = crashes.empty() || now - suspicion.countedAt >= m_options.crashSpacing;
    crashes.push_back({process, isCounted});
    if (isCounted) {
        suspicion.countedAt = now;
    }
}

bool PromptBlame::recordSound(const std::string &part, SteadyTime now)
{
    m_soundAt.record(part, now);
    const bool wasSuspected = m_suspicions.erase(part) > 0;
    const bool wasBlocked = m_blockedUntil.erase(part) > 0;
    return wasSuspected || wasBlocked;
}

bool PromptBlame::isKnownSound(const std::string &part) const
{
    return m_soundAt.seenAt(part).has_value();
}

bool PromptBlame::isSuspected(const std::string &part) const
{
    return m_suspicions.contains(part);
}

std::optional<std::string> PromptBlame::decide(SteadyTime now)
{
    if (now - m_discardedAt >= DiscardInterval) {
        discardOld(now);
    }
    if (m_suspicions.empty()) {
        return std::nullopt;
    }
    const bool isSettled = now - m_reportedAt >= m_options.settlingTime;
    // By the name last, so that all hosts decide alike.
    const auto rankOf = [](const auto &entry) {
        const auto &[part, suspicion] = entry;
        return std::tuple(suspicion.count(), !suspicion.isKnownSound, suspicion.position, part);
    };
    auto best = m_suspicions.end();
    for (auto entry = m_suspicions.begin(); entry != m_suspicions.end(); ++entry) {
        const auto &suspicion = entry->second;
        const auto needed = limitOf(suspicion) + (isSettled ? 0 : m_options.settledExcess);
        if (suspicion.count() < needed) {
            continue;
        }
        if (best == m_suspicions.end() || rankOf(*entry) > rankOf(*best)) {
            best = entry;
        }
    }
    if (best == m_suspicions.end()) {
        return std::nullopt;
    }
    const auto part = best->first;
    setBlocked(part, now + m_options.blockTime, now);
    return part;
}

std::uint32_t PromptBlame::limitOf(const Suspicion &suspicion) const
{
    return suspicion.isKnownSound ? m_options.knownSoundCrashLimit : m_options.crashLimit;
}

bool PromptBlame::block(const BlockedPart &part, SteadyTime now)
{
    const auto soundAt = m_soundAt.seenAt(part.part);
    if (!isSuspected(part.part) && soundAt && now - *soundAt < SoundPrecedence) {
        return false;
    }
    const bool isNew = !isBlocked(part.part, now);
    if (isNew && m_blockedUntil.size() >= m_options.maxBlocked) {
        discardOld(now);
    }
    const auto until = now + std::min(part.remaining(), m_options.blockTime);
    if (isNew && m_blockedUntil.size() >= m_options.maxBlocked) {
        const auto first
            = std::min_element(m_blockedUntil.begin(), m_blockedUntil.end(), [](const auto &left, const auto &right) {
                  return left.second < right.second;
              });
        if (until <= first->second) {
            return false;
        }
        m_blockedUntil.erase(first);
    }
    setBlocked(part.part, until, now);
    return isNew;
}

void PromptBlame::setBlocked(const std::string &part, SteadyTime until, SteadyTime now)
{
    auto &blockedUntil = m_blockedUntil[part];
    blockedUntil = std::max(blockedUntil, until);
    const auto found = m_suspicions.find(part);
    if (found == m_suspicions.end()) {
        return;
    }
    const auto suspicion = std::move(found->second);
    m_suspicions.erase(found);
    for (const auto &crash : suspicion.crashes) {
        explain(crash.process, now);
    }
}

void PromptBlame::explain(std::uint64_t process, SteadyTime now)
{
    m_explained[process] = now;
    for (auto &[part, suspicion] : m_suspicions) {
        std::erase_if(suspicion.crashes, [process](const Crash &crash) { return crash.process == process; });
    }
    std::erase_if(m_suspicions, [](const auto &entry) { return entry.second.count() == 0; });
}

bool PromptBlame::isBlocked(const std::string &part, SteadyTime now) const
{
    const auto found = m_blockedUntil.find(part);
    return found != m_blockedUntil.end() && now < found->second;
}

Milliseconds PromptBlame::recordRefusal(const std::string &part, SteadyTime now)
{
    const auto found = m_blockedUntil.find(part);
    if (found == m_blockedUntil.end()) {
        return Milliseconds(0);
    }
    found->second = now + m_options.blockTime;
    return m_options.blockTime;
}

std::vector<BlockedPart> PromptBlame::blockedParts(SteadyTime now) const
{
    std::vector<BlockedPart> parts;
    for (const auto &[part, until] : m_blockedUntil) {
        if (now < until) {
            const auto remaining = std::chrono::duration_cast<Milliseconds>(until - now);
            parts.push_back({part, static_cast<std::uint64_t>(remaining.count())});
        }
    }
    return parts;
}

bool PromptBlame::hasSuspects() const
{
    return !m_suspicions.empty() || !m_blockedUntil.empty();
}

void PromptBlame::discardOld(SteadyTime now)
{
    m_discardedAt = now;
    const auto oldestSuspicion = now - m_options.suspicionLifetime;
    const auto oldestSound = now - m_options.knownSoundLifetime;
    std::erase_if(m_suspicions, [&](const auto &entry) { return entry.second.countedAt < oldestSuspicion; });
    std::erase_if(m_explained, [&](const auto &entry) { return entry.second < oldestSuspicion; });
    m_soundAt.discardBefore(oldestSound);
    std::erase_if(m_blockedUntil, [&](const auto &entry) { return now >= entry.second; });
}

} // namespace Cardamomhill
