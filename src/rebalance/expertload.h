#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill
{

/// The present load of each (layer, expert) of a group, from counters that some of its ranks report now and then.
class ExpertLoad
{
public:
    /// Takes the counters of a rank since its start; what was chosen since its last ones counts for this round.
    /// Counters of another size start the load anew.
    void take(std::size_t rank, const std::vector<std::uint64_t> &counters);

    /// The rank could not be read, so its next counters are no difference to the last ones.
    void forget(std::size_t rank);

    void clear();

    /// Ends a round and folds it into the load. Returns false, and changes nothing, if it has too few choices.
    /// @param newestWeight weight of this round; with 1 it replaces the load
    bool fold(double newestWeight);

    /// Ends a round whose choices are not wanted.
    void dropRound();

    /// Layer by layer; empty before the first fold.
    const std::vector<double> &load() const;

private:
    std::map<std::size_t, std::vector<std::uint64_t>> m_last;
    std::vector<double> m_round;
    std::uint64_t m_choices = 0;
    std::vector<double> m_load;
};

} // namespace Cardamomhill
