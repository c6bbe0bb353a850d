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

/// Decides whether moving replicas is worth its cost, and which moves.
///
/// Every layer ends with an exchange between all ranks, so the time of a step is the sum over the layers of the slowest
/// rank's time in that layer.
class Planner
{
public:
    explicit Planner(const PlannerOptions &options = {});

    /// Changes nothing: a plan counts only once `adopted` was called for it.
    Result<PlacementDecision, PlacementError> decide(const ExpertMap &map,
                                                     const LoadEstimate &load,
                                                     const SkewDiagnosis &diagnosis,
                                                     const PlacementLimits &limits,
                                                     const PlacementWeights &weights,
                                                     SteadyTime now) const;

    /// The group has decided to carry out the plan: books its transfers, starts the cooldown of its moves, and
    /// remembers what it promised.
    void adopted(const PlacementPlan &plan, const ExpertMap &before, const ExpertMap &after, SteadyTime now);

    /// Compares an older plan's promise with what the present load makes of it: the time of a step with the map
    /// before the plan, less that with the map after it.
    void learn(const LoadEstimate &load, const SkewDiagnosis &diagnosis, SteadyTime now);

    /// Actual over predicted gain of past plans, at most 1.
    double confidence() const;

private:
    struct Promise {
        ExpertMap before;
        ExpertMap after;
        double microsecondsPerStep = 0;
        SteadyTime due{};
    };
    class Attempt;

    PlannerOptions m_options;
    internal::MoveHistory m_history;
    std::optional<Promise> m_promise;
    SteadyTime m_storeBusyUntil{};
    double m_confidence = 1;
};

} // namespace Cardamomhill
