#include "rebalance/switchpolicy.h"

#include "traffic/engineprofile.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Weight of the newest reading in the usage.
constexpr double UsageWeight = 0.5;
/// Parts of an engine's slots in use between which a group turns from idle to busy.
constexpr double IdlePart = 0.1;
constexpr double BusyPart = 0.6;
/// Part by which a plan must lower the load of the slowest ranks.
constexpr double RequiredGainBusy = 0.1;
constexpr double RequiredGainIdle = 0.3;
/// What each copy must bring in a group of `GainRanks`, in parts of the mean load of its layer.
constexpr double GainPerCopyBusy = 0.04;
constexpr double GainPerCopyIdle = 0.3;
constexpr double GainRanks = 8;
/// Ranks of a group for each one whose choices are read, and bounds of their number. Each reading is charged, and stops
/// the group for some milliseconds.
constexpr std::size_t RanksPerCounted = 10;
constexpr std::size_t FewestCounted = 2;
constexpr std::size_t MostCounted = 8;
/// Copies may take this many times longer than the link's rate says.
constexpr double CopyMargin = 1.1;
constexpr double BitsPerByte = 8;
constexpr double MegabitBytes = 1e6 / BitsPerByte;
/// Time for which maps that are sent together may occupy the coordinator's link. Events of callers' streams, notices
/// and renewals of the lease wait behind them.
constexpr std::chrono::duration<double> MapBurst{0.04};

} // namespace

void SwitchPolicy::observeUsage(double usage)
{
    m_usage += UsageWeight * (usage - m_usage);
}

double SwitchPolicy::usage() const
{
    return m_usage;
}

double SwitchPolicy::pressure() const
{
    return std::clamp((m_usage - IdlePart) / (BusyPart - IdlePart), 0.0, 1.0);
}

double SwitchPolicy::blend(double idle, double busy) const
{
    return idle + (busy - idle) * pressure();
}

SwitchLimits SwitchPolicy::limits(const EngineProfile &engine, std::size_t ranks) const
{
    // Every stream of the group gains from a shorter step, while a copy costs the same in a group of any size.
    const double part = std::min(1.0, GainRanks / static_cast<double>(std::max<std::size_t>(ranks, 1)));
    return {engine.placesPerRank, engine.copiesPerRank, part * blend(GainPerCopyIdle, GainPerCopyBusy)};
}

bool SwitchPolicy::isWorth(const SwitchPlan &plan) const
{
    return plan.skewAfter < plan.skewBefore * (1 - blend(RequiredGainIdle, RequiredGainBusy));
}

std::size_t SwitchPolicy::countedRanks(std::size_t ranks)
{
    return std::min(ranks, std::clamp(ranks / RanksPerCounted, FewestCounted, MostCounted));
}

std::size_t SwitchPolicy::mapsAtOnce(double linkMegabitsPerSecond, std::size_t mapBytes)
{
    const double bytes = linkMegabitsPerSecond * MegabitBytes * MapBurst.count();
    return std::max<std::size_t>(
        static_cast<std::size_t>(bytes / static_cast<double>(std::max<std::size_t>(mapBytes, 1))), 1);
}

Microseconds SwitchPolicy::copyTime(const EngineProfile &engine, std::size_t copies)
{
    if (engine.linkMegabitsPerSecond <= 0) {
        return Microseconds(0);
    }
    const double seconds = CopyMargin * static_cast<double>(copies) * engine.expertMegabytes * BitsPerByte
        / engine.linkMegabitsPerSecond;
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
}

} // namespace Cardamomhill
