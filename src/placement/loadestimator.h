#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "placement/groupshape.h"
#include "placement/loadestimate.h"
#include "placement/loadestimatoroptions.h"
#include "placement/placementerror.h"
#include "placement/rankreport.h"
#include "placement/rankwindow.h"
#include "placement/reportoutcome.h"

#include <span>
#include <vector>

namespace Cardamomhill
{

/// Estimates the load of each expert from the counters of the ranks. Keeps two exponential averages and uses the slow
/// one unless the fast one differs from it by more than noise can explain, so that noise is suppressed but a change is
/// followed quickly.
class LoadEstimator
{
public:
    explicit LoadEstimator(const GroupShape &shape, const LoadEstimatorOptions &options = {});

    /// Records one report. A stale report changes nothing; after a restart the rank's last rate remains in use until
    /// the next report.
    Result<ReportOutcome, PlacementError> observe(const RankReport &report);

    /// Updates the averages with the reports since the last call. Returns false, and changes nothing, if no rank
    /// reported a rate.
    bool advance(SteadyTime now);

    /// Tokens per step of each (layer, expert) in the newest window, not smoothed.
    std::span<const double> windowTokens() const;
    /// The window of each rank in the last update; not fresh if the rank sent no report.
    std::span<const RankWindow> windows() const;

    LoadEstimate estimate(SteadyTime now) const;

private:
    struct RankState {
        bool known = false;
        bool hasRate = false;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        SteadyTime receivedAt{};
        std::uint64_t steps = 0;
        Microseconds busyTime{0};
        std::vector<std::uint64_t> tokens;
        std::vector<float> tokensPerStep;
        double stepsPerSecond = 0;
    };
    struct LayerState {
        double noise = 0;
        double burst = 0;
        SteadyTime lastChange{};
    };

    void setBaseline(RankState &state, const RankReport &report);
    void recordRate(RankState &state, const RankReport &report);
    void sumWindows(SteadyTime now);
    void updateLayer(std::size_t layer, double fastWeight, double slowWeight, double noiseWeight, SteadyTime now);
    /// Weight of the fast average in the estimate: 0 while noise explains its difference from the slow one, up to 1.
    double fastAverageWeight(std::size_t cell, double noise) const;
    /// Standard deviation of the values relative to the slow average, from the median absolute deviation of the layer's
    /// experts. The median keeps one popular expert from counting as noise.
    double typicalDeviation(std::size_t layer, std::span<const double> values) const;
    double standardDeviation(std::size_t layer) const;

    GroupShape m_shape;
    LoadEstimatorOptions m_options;
    std::vector<RankState> m_ranks;
    /// Windows that were reported since the last update.
    std::vector<RankWindow> m_pendingWindows;
    std::vector<RankWindow> m_windows;
    std::vector<double> m_windowTokens;
    std::vector<double> m_fastAverage;
    std::vector<double> m_slowAverage;
    std::vector<LayerState> m_layers;
    double m_stepsPerSecond = 0;
    double m_observedSeconds = 0;
    SteadyTime m_lastUpdate{};
    SteadyTime m_firstUpdate{};
    SteadyTime m_newestReport{};
};

} // namespace Cardamomhill
