#include "rebalance/expertload.h"

namespace Cardamomhill
{

namespace
{

/// Rounds with fewer selections are ignored as too small a sample.
constexpr std::uint64_t MinRoundSelections = 2000;

} // namespace

void ExpertLoad::addCounters(std::size_t rank, const std::vector<std::uint64_t> &counters)
{
    if (counters.size() != m_round.size()) {
        clear();
        m_round.assign(counters.size(), 0);
    }
    auto &last = m_lastCounters[rank];
    if (!last.empty()) {
        for (std::size_t cell = 0; cell < counters.size(); ++cell) {
            // A rank that was restarted counts from zero.
            const auto selected = counters[cell] >= last[cell] ? counters[cell] - last[cell] : counters[cell];
            m_roundSelections += selected;
            m_round[cell] += static_cast<double>(selected);
        }
    }
    last = counters;
}

void ExpertLoad::forget(std::size_t rank)
{
    m_lastCounters.erase(rank);
}

void ExpertLoad::clear()
{
    *this = ExpertLoad();
}

bool ExpertLoad::finishRound(double newestWeight)
{
    const bool hasEnoughData = round().has_value();
    if (hasEnoughData && m_load.empty()) {
        m_load = m_round;
    } else if (hasEnoughData) {
        for (std::size_t cell = 0; cell < m_load.size(); ++cell) {
            m_load[cell] = (1 - newestWeight) * m_load[cell] + newestWeight * m_round[cell];
        }
    }
    discardRound();
    return hasEnoughData;
}

void ExpertLoad::discardRound()
{
    m_round.assign(m_round.size(), 0);
    m_roundSelections = 0;
}

const std::vector<double> &ExpertLoad::load() const
{
    return m_load;
}

std::optional<std::span<const double>> ExpertLoad::round() const
{
    return m_roundSelections >= MinRoundSelections ? std::optional<std::span<const double>>(m_round) : std::nullopt;
}

} // namespace Cardamomhill
