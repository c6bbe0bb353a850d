#include "rebalance/coordinatorfitness.h"

#include "traffic/engineprofile.h"

namespace Cardamomhill
{

namespace
{

/// Size of one replica in an encoded map.
constexpr double ReplicaBytes = 4;
constexpr double BitsPerByte = 8;

} // namespace

Microseconds mapTransferTime(const EngineProfile &engine, std::size_t ranks, double linkMegabitsPerSecond)
{
    // Maps have one replica of each expert and use about half of the other places on the ranks for further replicas.
    const double experts = engine.expertsPerLayer;
    const double places = static_cast<double>(ranks) * engine.replicasPerRank;
    const double replicas = engine.expertLayers * (experts + places) / 2;
    const double megabits = static_cast<double>(ranks) * replicas * ReplicaBytes * BitsPerByte / 1e6;
    const std::chrono::duration<double> time(linkMegabitsPerSecond > 0 ? megabits / linkMegabitsPerSecond : 0);
    return std::chrono::duration_cast<Microseconds>(time);
}

} // namespace Cardamomhill
