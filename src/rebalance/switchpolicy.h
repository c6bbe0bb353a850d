#pragma once

#include "core/clocktypes.h"
#include "placement/switchplanner.h"

#include <cstddef>

namespace Cardamomhill
{

struct EngineProfile;

/// Decides whether a planned map switch is worth the cost of its copies. A busy group gains from evenly loaded ranks,
/// since its calls wait for steps; an idle group meets its deadlines anyway, and a switch would only cost.
class SwitchPolicy
{
public:
    /// @param utilisation mean share of the engines' slots in use; above 1 if requests are queued
    void observeUtilisation(double utilisation);

    /// Exponentially weighted mean of the last readings.
    double utilisation() const;
    /// From 0 for an idle group to 1 for a busy one.
    double pressure() const;

    /// Limits for the planner of a switch at the current pressure.
    SwitchLimits limits(const EngineProfile &engine, std::size_t ranks) const;
    bool isWorthwhile(const SwitchPlan &plan) const;

    /// Whether the selections of the last moments are a shift to other experts rather than a drift of the known load.
    /// Both are given by the skew that the current map has under them.
    static bool isShift(double latestSkew, double knownSkew);

    /// Estimated time for the rank with most copies to receive them; 0 if the rate of its link is not known.
    static Microseconds copyTime(const EngineProfile &engine, std::size_t copies);

    /// Number of ranks that can be sent a map concurrently without occupying the coordinator's link for long.
    static std::size_t maxConcurrentMaps(double linkMegabitsPerSecond, std::size_t mapBytes);

    /// Number of ranks whose expert counters are read. The few streams of one rank are no representative sample of a
    /// large group.
    static std::size_t sampledRankCount(std::size_t ranks);

private:
    /// Number of copies that a rank receives within a time, but at least a few; 0 if the rate of its link is not known.
    static std::size_t copiesWithin(const EngineProfile &engine, Milliseconds time);
    /// Interpolates between the values for an idle and a busy group by the current pressure.
    double interpolate(double idle, double busy) const;

    double m_utilisation = 0;
};

} // namespace Cardamomhill
