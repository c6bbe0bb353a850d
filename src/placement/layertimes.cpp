#include "placement/layertimes.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace Cardamomhill
{

LayerTimes
layerTimes(const ExpertMap &map, std::size_t layer, std::span<const double> tokens, std::span<const double> speeds)
{
    std::vector<double> loads(speeds.size(), 0);
    double total = 0;
    double squares = 0;
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        const auto &ranks = map.replicas(layer, expert);
        const double share = tokens[expert] / static_cast<double>(ranks.size());
        for (const auto rank : ranks) {
            const double load = share / speeds[rank];
            loads[rank] += load;
            squares += load * load;
        }
        total += tokens[expert];
    }
    LayerTimes times;
    times.slowest = *std::max_element(loads.begin(), loads.end());
    times.ideal = total / std::accumulate(speeds.begin(), speeds.end(), 0.0);
    times.errorFactor = std::sqrt(squares / static_cast<double>(speeds.size()));
    return times;
}

} // namespace Cardamomhill
