#include "rebalance/expertload.h"

namespace Cardamomhill
{

namespace
{

/// Choices in a round below which it says too little.
constexpr std::uint64_t LeastChoices = 2000;

} // namespace

void ExpertLoad::take(std::size_t rank, const std::vector<std::uint64_t> &counters)
{
    if (counters.size() != m_round.size()) {
        clear();
        m_round.assign(counters.size(), 0);
    }
    auto &last = m_last[rank];
    if (!last.empty()) {
        for (std::size_t cell = 0; cell < counters.size(); ++cell) {
            // A rank that started anew counts from zero.
            const auto chosen = counters[cell] >= last[cell] ? counters[cell] - last[cell] : counters[cell];
            m_choices += chosen;
            m_round[cell] += static_cast<double>(chosen);
        }
    }
    last = counters;
}

void ExpertLoad::forget(std::size_t rank)
{
    m_last.erase(rank);
}

void ExpertLoad::clear()
{
    *this = ExpertLoad();
}

bool ExpertLoad::fold(double newestWeight)
{
    const bool isEnough = m_choices >= LeastChoices;
    if (isEnough && m_load.empty()) {
        m_load = m_round;
    } else if (isEnough) {
        for (std::size_t cell = 0; cell < m_load.size(); ++cell) {
            m_load[cell] = (1 - newestWeight) * m_load[cell] + newestWeight * m_round[cell];
        }
    }
    dropRound();
    return isEnough;
}

void ExpertLoad::dropRound()
{
    m_round.assign(m_round.size(), 0);
    m_choices = 0;
}

const std::vector<double> &ExpertLoad::load() const
{
    return m_load;
}

} // namespace Cardamomhill
