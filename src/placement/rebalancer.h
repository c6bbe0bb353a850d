#pragma once

#include "placement/loadestimator.h"
#include "placement/planner.h"
#include "placement/skewclassifier.h"

namespace Cardamomhill
{

/// The parts of a rebalancer's configuration that do not change while it runs.
struct RebalancerOptions {
    LoadEstimatorOptions estimator;
    SkewClassifierOptions classifier;
    PlannerOptions planner;
};

/// Everything that decides on the expert map of one group: reports go in, decisions come out.
class Rebalancer
{
public:
    Rebalancer(ExpertMap map,
               const PlacementLimits &limits,
               const PlacementWeights &weights,
               const RebalancerOptions &options = {});

    Result<ReportOutcome, PlacementError> observe(const RankReport &report);

    /// Folds the reports since the last call into the estimate. To be called once in each report interval.
    void advance(SteadyTime now);

    Result<PlacementDecision, PlacementError> decide(SteadyTime now) const;

    /// The plan is being carried out: its transfers have started. Returns the map to switch to. Fails, and changes
    /// nothing, when a move does not fit the present map.
    Result<ExpertMap, PlacementError> start(const PlacementPlan &plan, SteadyTime now);

    /// The group's ranks now run on this map. Also for a map that another process has put in force.
    void switched(ExpertMap map);

    /// The profile of the service or the limits changed.
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
