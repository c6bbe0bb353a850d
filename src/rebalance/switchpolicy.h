#pragma once

#include "core/clocktypes.h"
#include "placement/switchplanner.h"

#include <cstddef>

namespace Cardamomhill
{

struct EngineProfile;

/// When a plan for a group's map is worth its copies. A busy group gains from even ranks, since its calls wait for
/// steps; one with little to do answers in time anyway, and a switch would only cost.
class SwitchPolicy
{
public:
    /// Takes a reading of the mean part of the engines' slots that is in use.
    void observeUsage(double usage);

    /// Mean over the last readings.
    double usage() const;
    /// From 0 for a group that has little to do to 1 for a busy one.
    double pressure() const;

    /// What a switch may change now.
    SwitchLimits limits(const EngineProfile &engine, std::size_t ranks) const;
    bool isWorth(const SwitchPlan &plan) const;

    /// Time in which the rank with most copies receives them.
    static Microseconds copyTime(const EngineProfile &engine, std::size_t copies);

    /// Ranks that may be sent a map at the same time without filling the coordinator's link for long.
    static std::size_t mapsAtOnce(double linkMegabitsPerSecond, std::size_t mapBytes);

    /// Ranks whose choices of experts are read. A few streams of one rank say little about those of a large group.
    static std::size_t countedRanks(std::size_t ranks);

private:
    double blend(double idle, double busy) const;

    double m_usage = 0;
};

} // namespace Cardamomhill
