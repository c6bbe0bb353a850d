#pragma once

#include "placement/loadestimator.h"
#include "placement/planner.h"
#include "placement/skewclassifier.h"

namespace Cardamomhill
{

/// Parameters of Rebalancer that stay constant during its lifetime.
struct RebalancerOptions {
    LoadEstimatorOptions estimator;
    SkewClassifierOptions classifier;
    PlannerOptions planner;
};

/// Decides on the expert map of one group from the reports of its ranks.
class Rebalancer
{
public:
    Rebalancer(ExpertMap map,
               const PlacementLimits &limits,
               const PlacementWeights &weights,
               const RebalancerOptions &options = {});

    Result<ReportOutcome, PlacementError> observe(const RankReport &report);

    /// Updates the estimate with the reports since the last call. Must be called once per report interval.
    void advance(SteadyTime now);

    Result<PlacementDecision, PlacementError> decide(SteadyTime now) const;

    /// Records that the transfers of the plan have started. Returns the map to switch to. Fails, and changes nothing,
    /// if a move cannot be applied to the present map.
    Result<ExpertMap, PlacementError> startPlan(const PlacementPlan &plan, SteadyTime now);

    /// Records that the group's ranks now use this map, which another process may have applied.
    void mapSwitched(ExpertMap map);

    /// Sets new limits and weights, for example after a change of the service's profile.
    void configure(const PlacementLimits &limits, const PlacementWeights &weights);

    const ExpertMap &map() const;
    const SkewDiagnosis &diagnosis() const;
    LoadEstimate estimate(SteadyTime now) const;
    double confidence() const;

private:
    ExpertMap m_map;
    PlacementLimits m_limits;
    PlacementWeights m_weights;
    LoadEstimator m_estimator;
    SkewClassifier m_classifier;
    Planner m_planner;
    bool m_mapChangedInWindow = false;
};

} // namespace Cardamomhill
