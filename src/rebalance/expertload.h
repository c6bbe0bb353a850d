#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Cardamomhill
{

/// Estimates the current load of each (layer, expert) of a group from counters that some of its ranks report.
class ExpertLoad
{
public:
    /// Adds the difference from the last counters of this rank to the current round. If the number of counters has
    /// changed, the load is cleared.
    /// @param counters how often each expert was selected since the rank started
    void addCounters(std::size_t rank, const std::vector<std::uint64_t> &counters);

    /// Forgets the last counters of a rank that could not be read. Its next ones only serve as a base.
    void forget(std::size_t rank);

    void clear();

    /// Ends a round and combines it with the load. Returns false, and leaves the load, if it has too few selections.
    /// @param newestWeight weight of this round; with 1 it replaces the load
    bool finishRound(double newestWeight);

    /// Ends a round without using its selections.
    void discardRound();

    /// Layer by layer; empty until a round had enough selections.
    const std::vector<double> &load() const;

    /// The selections of the current round, or nothing if they are too few.
    std::optional<std::span<const double>> round() const;

private:
    std::map<std::size_t, std::vector<std::uint64_t>> m_lastCounters;
    std::vector<double> m_round;
    std::uint64_t m_roundSelections = 0;
    std::vector<double> m_load;
};

} // namespace Cardamomhill
