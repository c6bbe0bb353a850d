#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "placement/expertmap.h"
#include "placement/loadestimate.h"
#include "placement/movehistory.h"
#include "placement/placementdecision.h"
#include "placement/placementerror.h"
#include "placement/placementlimits.h"
#include "placement/placementweights.h"
#include "placement/planneroptions.h"
#include "placement/skewdiagnosis.h"

#include <optional>
#include <span>
#include <vector>

namespace Cardamomhill
{

/// Decides whether moving replicas is worth its cost, and which moves to make.
///
/// Every layer ends with an exchange between all ranks, so the time of a step is the sum over the layers of the slowest
/// rank's time in that layer.
class Planner
{
public:
    explicit Planner(const PlannerOptions &options = {});

    /// Changes no state: a plan takes effect only when planStarted() is called for it.
    Result<PlacementDecision, PlacementError> decide(const ExpertMap &map,
                                                     const LoadEstimate &load,
                                                     const SkewDiagnosis &diagnosis,
                                                     const PlacementLimits &limits,
                                                     const PlacementWeights &weights,
                                                     SteadyTime now) const;

    /// Records that the group carries out the plan: the time of its transfers, the cooldown of its moves, and its
    /// predicted gain.
    void planStarted(const PlacementPlan &plan, const ExpertMap &before, const ExpertMap &after, SteadyTime now);

    /// Compares the predicted gain of an earlier plan with its gain under the present load: the time of a step with the
    /// map before the plan minus that with the map after it.
    void updateConfidence(const LoadEstimate &load, const SkewDiagnosis &diagnosis, SteadyTime now);

    /// Average ratio of actual to predicted gain of past plans, at most 1.
    double confidence() const;

private:
    /// The predicted gain of a plan, and the maps to evaluate it with.
    struct Prediction {
        ExpertMap before;
        ExpertMap after;
        double microsecondsPerStep = 0;
        SteadyTime evaluateAt{};
    };
    class DecisionBuilder;

    PlannerOptions m_options;
    internal::MoveHistory m_history;
    std::optional<Prediction> m_prediction;
    SteadyTime m_storeBusyUntil{};
    double m_confidence = 1;
};

} // namespace Cardamomhill
