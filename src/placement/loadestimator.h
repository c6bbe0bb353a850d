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

/// Turns the counters of the ranks into a load for each expert. Keeps a fast and a slow average and uses the slow one
/// unless the fast one differs by more than noise explains, so that noise is forgotten slowly and a change quickly.
class LoadEstimator
{
public:
    explicit LoadEstimator(const GroupShape &shape, const LoadEstimatorOptions &options = {});

    /// Takes one report. A stale report changes nothing; after a restart the rank's last rate stands until the
    /// next report.
    Result<ReportOutcome, PlacementError> observe(const RankReport &report);

    /// Folds what arrived since the last call into the averages. Returns false, and changes nothing, when no rank
    /// reported a rate.
    bool advance(SteadyTime now);

    /// Tokens for each step and (layer, expert) in the newest window, not smoothed.
    std::span<const double> windowTokens() const;
    /// The window of each rank that the last fold took; not fresh where the rank sent no report.
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

    void startFrom(RankState &state, const RankReport &report);
    void count(RankState &state, const RankReport &report);
    void sumWindows(SteadyTime now);
    void updateLayer(std::size_t layer, double fastWeight, double slowWeight, double noiseWeight, SteadyTime now);
    /// 0: the slow average, 1: the fast one.
    double followWeight(std::size_t cell, double noise) const;
    /// The relative deviation of the values from the slow average that half of the layer's experts exceed, as a
    /// standard deviation. The median keeps one popular expert from counting as noise.
    double typicalDeviation(std::size_t layer, std::span<const double> values) const;
    double standardDeviation(std::size_t layer) const;

    GroupShape m_shape;
    LoadEstimatorOptions m_options;
    std::vector<RankState> m_ranks;
    /// Windows that were reported since the last fold.
    std::vector<RankWindow> m_pending;
    std::vector<RankWindow> m_windows;
    std::vector<double> m_windowTokens;
    std::vector<double> m_fast;
    std::vector<double> m_slow;
    std::vector<LayerState> m_layers;
    double m_stepsPerSecond = 0;
    double m_observedSeconds = 0;
    SteadyTime m_lastFold{};
    SteadyTime m_firstFold{};
    SteadyTime m_newestReport{};
};

} // namespace Cardamomhill
