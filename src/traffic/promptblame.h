#pragma once

#include "core/clocktypes.h"
#include "traffic/blockedpart.h"
#include "traffic/promptsuspect.h"
#include "traffic/recentparts.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// Constants of PromptBlame.
struct PromptBlameOptions {
    /// Crashes without a sound answer in between after which a part is blocked.
    std::uint32_t crashLimit = 3;
    /// The same for a part under which answers went on before.
    std::uint32_t knownSoundCrashLimit = 5;
    /// Crashes under a part that follow each other sooner count as one: servers that crash together usually do so for
    /// another reason than their prompts.
    Microseconds crashSpacing = Milliseconds(250);
    /// Time after the last report of a crash in which those of other hosts, and sound answers, arrive.
    Microseconds settlingTime = Milliseconds(400);
    /// Crashes beyond the limit from which a part is blocked although reports still arrive.
    std::uint32_t settledExcess = 2;
    /// A part without a further crash for this long is no longer suspected.
    Microseconds suspicionLifetime = std::chrono::minutes(10);
    /// How long it is remembered that an answer went on under a part.
    Microseconds knownSoundLifetime = Seconds(60);
    /// A block ends this long after the last call that it refused.
    Milliseconds blockTime = std::chrono::minutes(10);
    /// More than two prompts can add. Beyond it the parts with the fewest and the oldest crashes are forgotten.
    std::size_t maxSuspects = 10'000;
    /// Beyond it the block that ends first is lifted.
    std::size_t maxBlocked = 256;
    /// Beyond it the parts under which no answer went on for the longest time are forgotten.
    std::size_t maxKnownSound = 8000;
};

/// Finds the parts of prompts that crash backend servers, from the crashes that all entry hosts report, and remembers
/// which parts are blocked for that.
///
/// A part of a prompt that crashes a server does so each time, before the answer goes on. So an answer that goes on
/// clears all parts of its prompt. Of the parts that several crashes have in common, the one is blocked under which no
/// answer ever went on, or else the one that the fewest calls share. The crashes that it explains then no longer count
/// against the others.
class PromptBlame
{
public:
    explicit PromptBlame(PromptBlameOptions options = {});

    /// Records the parts of the prompts that a process was about to answer when it crashed.
    void recordCrash(std::uint64_t process, const std::vector<PromptSuspect> &suspects, SteadyTime now);

    /// Records that an answer went on under a part. Returns whether the part was suspected or blocked until now.
    bool recordSound(const std::string &part, SteadyTime now);

    bool isKnownSound(const std::string &part) const;

    /// Whether a server crashed under a part, and no answer has gone on under it since.
    bool isSuspected(const std::string &part) const;

    /// Blocks the part that explains the most crashes, if they are enough. To be called periodically.
    /// @return the part that was blocked
    std::optional<std::string> decide(SteadyTime now);

    /// Blocks a part as another host did, unless an answer has just gone on under it. Returns whether it was not
    /// blocked yet.
    bool block(const BlockedPart &part, SteadyTime now);

    bool isBlocked(const std::string &part, SteadyTime now) const;

    /// Records that a call with a blocked part was refused, which prolongs the block. Returns how long it lasts.
    Milliseconds recordRefusal(const std::string &part, SteadyTime now);

    /// All parts that are blocked now.
    std::vector<BlockedPart> blockedParts(SteadyTime now) const;

    bool hasSuspects() const;

private:
    struct Crash {
        std::uint64_t process = 0;
        /// False if it came soon after another one.
        bool isCounted = false;
    };

    struct Suspicion {
        std::vector<Crash> crashes;
        SteadyTime countedAt{};
        std::uint32_t position = 0;
        bool isKnownSound = false;

        std::uint32_t count() const;
    };

    /// Forgets the weakest suspicions beyond the limit.
    void limitSuspicions();
    void addCrash(Suspicion &suspicion, std::uint64_t process, SteadyTime now) const;
    std::uint32_t limitOf(const Suspicion &suspicion) const;
    /// Takes a crash as explained: it no longer counts against any part.
    void explain(std::uint64_t process, SteadyTime now);
    void setBlocked(const std::string &part, SteadyTime until, SteadyTime now);
    void discardOld(SteadyTime now);

    PromptBlameOptions m_options;
    std::unordered_map<std::string, Suspicion> m_suspicions;
    std::unordered_map<std::string, SteadyTime> m_blockedUntil;
    /// When an answer last went on under a part.
    RecentParts m_soundAt;
    /// Crashes under a blocked part, and when that was found.
    std::unordered_map<std::uint64_t, SteadyTime> m_explained;
    SteadyTime m_reportedAt{};
    SteadyTime m_discardedAt{};
};

} // namespace Cardamomhill
