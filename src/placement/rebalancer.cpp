#include "placement/rebalancer.h"

namespace Cardamomhill
{

Rebalancer::Rebalancer(ExpertMap map,
                       const PlacementLimits &limits,
                       const PlacementWeights &weights,
                       const RebalancerOptions &options)
    : m_map(std::move(map))
    , m_limits(limits)
    , m_weights(weights)
    , m_estimator(m_map.shape(), options.estimator)
    , m_classifier(m_map.shape(), options.classifier)
    , m_planner(options.planner)
{
}

Result<ReportOutcome, PlacementError> Rebalancer::observe(const RankReport &report)
{
    return m_estimator.observe(report);
}

void Rebalancer::advance(SteadyTime now)
{
    if (!m_estimator.advance(now)) {
        return;
    }
    // The step times of a window in which the map changed were measured with both maps, so they are not used.
    if (!m_mapChangedInWindow) {
        m_classifier.observe(m_estimator.windows(), m_estimator.windowTokens(), m_map);
    }
    m_mapChangedInWindow = false;
    m_planner.updateConfidence(m_estimator.estimate(now), m_classifier.diagnosis(), now);
}

Result<PlacementDecision, PlacementError> Rebalancer::decide(SteadyTime now) const
{
    return m_planner.decide(m_map, m_estimator.estimate(now), m_classifier.diagnosis(), m_limits, m_weights, now);
}

Result<ExpertMap, PlacementError> Rebalancer::startPlan(const PlacementPlan &plan, SteadyTime now)
{
    auto after = m_map;
    for (const auto &move : plan.moves) {
        if (const auto applied = after.apply(move); !applied) {
            return failure(applied.error());
        }
    }
    m_planner.planStarted(plan, m_map, after, now);
    return after;
}

void Rebalancer::mapSwitched(ExpertMap map)
{
    m_map = std::move(map);
    m_mapChangedInWindow = true;
}

void Rebalancer::configure(const PlacementLimits &limits, const PlacementWeights &weights)
{
    m_limits = limits;
    m_weights = weights;
}

const ExpertMap &Rebalancer::map() const
{
    return m_map;
}

const SkewDiagnosis &Rebalancer::diagnosis() const
{
    return m_classifier.diagnosis();
}

LoadEstimate Rebalancer::estimate(SteadyTime now) const
{
    return m_estimator.estimate(now);
}

double Rebalancer::confidence() const
{
    return m_planner.confidence();
}

} // namespace Cardamomhill
