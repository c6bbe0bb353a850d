#include "metrics/latencysummary.h"

#include <array>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Cardamomhill
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array<double, 4> Probabilities{0.5, 0.9, 0.95, 0.99};

using AccumulatorSet
    = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

} // namespace

struct LatencySummary::Accumulator {
    std::mutex mutex;
    AccumulatorSet set{acc::extended_p_square_probabilities = Probabilities};
};

LatencySummary::LatencySummary()
    : m_accumulator(std::make_unique<Accumulator>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::record(Microseconds latency)
{
    const std::lock_guard lock(m_accumulator->mutex);
    m_accumulator->set(std::chrono::duration<double>(latency).count());
}

LatencySummary::Values LatencySummary::values() const
{
    const std::lock_guard lock(m_accumulator->mutex);
    Values values;
    values.count = acc::count(m_accumulator->set);
    values.sumSeconds = acc::sum(m_accumulator->set);
    // The extended P-square estimator has 2n + 3 markers for n quantiles and needs more samples than that.
    if (values.count <= 2 * Probabilities.size() + 3) {
        return values;
    }
    const auto estimates = acc::extended_p_square(m_accumulator->set);
    auto estimate = estimates.begin();
    for (const double probability : Probabilities) {
        values.quantiles.push_back({probability, *estimate++});
    }
    return values;
}

} // namespace Cardamomhill
