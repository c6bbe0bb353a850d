#include "rebalance/switchpolicy.h"

#include "traffic/engineprofile.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Weight of the newest reading in the mean utilisation.
constexpr double UtilisationWeight = 0.5;
/// Utilisation up to which a group is idle, and from which it is fully busy.
constexpr double IdleUtilisation = 0.1;
constexpr double BusyUtilisation = 0.6;
/// Minimum relative reduction of the load of the slowest ranks by a plan, since copies slow down the steps meanwhile.
constexpr double RequiredGainBusy = 0.15;
constexpr double RequiredGainIdle = 0.3;
/// Minimum gain of each copy in a group of `ReferenceRanks` ranks, as a share of the mean load of its layer.
constexpr double GainPerCopyBusy = 0.04;
constexpr double GainPerCopyIdle = 0.3;
constexpr double ReferenceRanks = 8;
/// Skew from which the latest selections are a shift, and its minimum ratio to the skew of the known load. The few
/// requests of a short sample alone reach 1.4.
constexpr double MinShiftSkew = 1.6;
constexpr double ShiftSkewRatio = 1.35;
/// One of this many ranks is sampled, within bounds, since each reading is charged and pauses the group for some
/// milliseconds.
constexpr std::size_t RanksPerSampledRank = 10;
constexpr std::size_t MinSampledRanks = 2;
constexpr std::size_t MaxSampledRanks = 8;
/// Time within which the copies of one switch should be complete. Steps are slow until then; what is left to improve
/// follows in the next switch.
constexpr Milliseconds MaxCopyTime{350};
constexpr std::size_t MinCopiesPerRank = 2;
/// Safety factor on the copy time that follows from the link's rate.
constexpr double CopyTimeFactor = 1.1;
constexpr double BitsPerByte = 8;
constexpr double BytesPerMegabit = 1e6 / BitsPerByte;
/// Maximum time for which maps that are sent concurrently may occupy the coordinator's link. Events of callers'
/// streams, notices and lease renewals are queued behind them.
constexpr std::chrono::duration<double> MaxMapBurst{0.04};

} // namespace

void SwitchPolicy::observeUtilisation(double utilisation)
{
    m_utilisation += UtilisationWeight * (utilisation - m_utilisation);
}

double SwitchPolicy::utilisation() const
{
    return m_utilisation;
}

double SwitchPolicy::pressure() const
{
    return std::clamp((m_utilisation - IdleUtilisation) / (BusyUtilisation - IdleUtilisation), 0.0, 1.0);
}

double SwitchPolicy::interpolate(double idle, double busy) const
{
    return idle + (busy - idle) * pressure();
}

std::size_t SwitchPolicy::copiesWithin(const EngineProfile &engine, Milliseconds time)
{
    const auto one = copyTime(engine, 1);
    return one <= Microseconds(0) ? 0 : std::max<std::size_t>(static_cast<std::size_t>(time / one), MinCopiesPerRank);
}

SwitchLimits SwitchPolicy::limits(const EngineProfile &engine, std::size_t ranks) const
{
    // A shorter step benefits all streams of the group, while the cost of a copy does not depend on the group size.
    const double gainFactor = std::min(1.0, ReferenceRanks / static_cast<double>(std::max<std::size_t>(ranks, 1)));
    return {engine.replicasPerRank,
            engine.spareReplicasPerRank,
            gainFactor * interpolate(GainPerCopyIdle, GainPerCopyBusy),
            copiesWithin(engine, MaxCopyTime)};
}

bool SwitchPolicy::isWorthwhile(const SwitchPlan &plan) const
{
    return plan.skewAfter < plan.skewBefore * (1 - interpolate(RequiredGainIdle, RequiredGainBusy));
}

bool SwitchPolicy::isShift(double latestSkew, double knownSkew)
{
    return latestSkew > MinShiftSkew && latestSkew > knownSkew * ShiftSkewRatio;
}

std::size_t SwitchPolicy::sampledRankCount(std::size_t ranks)
{
    return std::min(ranks, std::clamp(ranks / RanksPerSampledRank, MinSampledRanks, MaxSampledRanks));
}

std::size_t SwitchPolicy::maxConcurrentMaps(double linkMegabitsPerSecond, std::size_t mapBytes)
{
    const double bytes = linkMegabitsPerSecond * BytesPerMegabit * MaxMapBurst.count();
    return std::max<std::size_t>(
        static_cast<std::size_t>(bytes / static_cast<double>(std::max<std::size_t>(mapBytes, 1))), 1);
}

Microseconds SwitchPolicy::copyTime(const EngineProfile &engine, std::size_t copies)
{
    if (engine.linkMegabitsPerSecond <= 0) {
        return Microseconds(0);
    }
    const double seconds = CopyTimeFactor * static_cast<double>(copies) * engine.expertMegabytes * BitsPerByte
        / engine.linkMegabitsPerSecond;
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
}

} // namespace Cardamomhill
