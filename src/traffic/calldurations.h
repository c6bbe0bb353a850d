#pragma once

#include "core/clocktypes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// How long the latest calls of a class, such as those of one route, took at most.
class CallDurations
{
public:
    enum class End : std::uint8_t {
        /// The call was answered in full.
        Answered,
        /// The call ended in another way, which shows only that its answer would have taken longer. A refusal or an
        /// error within milliseconds says nothing about the calls that are answered.
        Unfinished,
    };

    /// The number of calls from which on their longest duration says something about the next one: of n calls one in
    /// n + 1 takes longer than all before it.
    static constexpr std::size_t minCount = 64;
    /// How much longer than all of the latest ones the next call may take, as a fraction of that (numerator and
    /// denominator). Calls that began when the load was lower took less time than those that begin now.
    static constexpr int marginNumerator = 5;
    static constexpr int marginDenominator = 4;
    /// For how many times the limit of a call the class must be known. Before that, most calls that have ended are
    /// short ones, since the long ones of the same time still run.
    static constexpr int minKnownLimits = 2;

    void record(Microseconds duration, End end, SteadyTime now);

    /// The longest of the latest calls, some 500, or nothing before the first call.
    std::optional<Microseconds> longest() const;

    /// A duration that hardly any call will exceed, or nothing if too little is known.
    /// @param limit the longest time that a call may take
    /// @param oldestRunning how long the oldest call of the class that has not ended has taken so far
    std::optional<Microseconds> expected(Microseconds limit, Microseconds oldestRunning, SteadyTime now) const;

private:
    /// The longest durations are kept for blocks of calls, of which the oldest is forgotten as a whole.
    static constexpr std::size_t blockSize = 64;
    static constexpr std::size_t blockCount = 8;

    std::array<Microseconds, blockCount> m_longest{};
    std::size_t m_count = 0;
    /// When the first call began.
    SteadyTime m_knownSince{};
};

} // namespace Cardamomhill
