#include "rebalance/coordinatorfitness.h"

#include "traffic/engineprofile.h"

namespace Cardamomhill
{

namespace
{

/// Bytes of one replica in an encoded map.
constexpr double ReplicaBytes = 4;
constexpr double BitsPerByte = 8;

} // namespace

Microseconds mapTime(const EngineProfile &engine, std::size_t ranks, double linkMegabitsPerSecond)
{
    // Ranks may hold more replicas than there are experts, up to all of their places; maps use about half of those.
    const double experts = engine.expertsPerLayer;
    const double places = static_cast<double>(ranks) * engine.placesPerRank;
    const double replicas = engine.expertLayers * (experts + places) / 2;
    const double megabits = static_cast<double>(ranks) * replicas * ReplicaBytes * BitsPerByte / 1e6;
    const std::chrono::duration<double> time(linkMegabitsPerSecond > 0 ? megabits / linkMegabitsPerSecond : 0);
    return std::chrono::duration_cast<Microseconds>(time);
}

} // namespace Cardamomhill
