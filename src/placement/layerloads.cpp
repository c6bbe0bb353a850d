#include "placement/layerloads.h"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace Cardamomhill
{

StepVariation stepVariation(double burstDeviation, std::size_t ranks)
{
    StepVariation variation;
    variation.burstDeviation = burstDeviation;
    if (ranks > 1) {
        // Blom's approximation of the expected maximum of independent normal variables.
        const auto count = static_cast<double>(ranks);
        variation.maximumDeviations
            = boost::math::quantile(boost::math::normal_distribution<double>(), (count - 0.375) / (count + 0.25));
    }
    return variation;
}

LayerLoads layerLoads(const ExpertMap &map,
                      std::size_t layer,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const StepVariation &variation,
                      std::size_t slots)
{
    std::vector<double> loads(speeds.size(), 0);
    std::vector<double> variances(speeds.size(), 0);
    double total = 0;
    double squares = 0;
    double deviations = 0;
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        const auto &ranks = map.replicas(layer, expert);
        const auto count = static_cast<double>(ranks.size());
        const double share = tokens[expert] / count;
        const double variance = variation.varianceOf(tokens[expert]);
        for (const auto rank : ranks) {
            loads[rank] += share / speeds[rank];
            variances[rank] += variance / (count * count * speeds[rank] * speeds[rank]);
        }
        squares += share * share * count;
        total += tokens[expert];
        deviations += std::sqrt(variance);
    }
    LayerLoads result;
    for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
        result.slowest
            = std::max(result.slowest, loads[rank] + variation.maximumDeviations * std::sqrt(variances[rank]));
    }
    const auto ranks = static_cast<double>(speeds.size());
    result.ideal = total / std::accumulate(speeds.begin(), speeds.end(), 0.0);
    double distances = 0;
    for (const auto load : loads) {
        distances += (load - result.ideal) * (load - result.ideal);
    }
    result.spread = std::sqrt(distances / ranks);
    // The mean of the ranks' variances is minimal if experts have replicas in proportion to their deviation.
    result.bound
        = result.ideal + variation.maximumDeviations * deviations / std::sqrt(ranks * static_cast<double>(slots));
    result.errorFactor = std::sqrt(squares / ranks);
    return result;
}

} // namespace Cardamomhill
