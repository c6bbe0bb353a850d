#include "placement/planner.h"

#include "placement/layerbalancer.h"
#include "placement/layerloads.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

constexpr double bytesPerGigabyte = 1e9;
constexpr double microsecondsPerSecond = 1e6;

std::span<const double> layerOf(const LoadEstimate &load, std::size_t layer)
{
    return std::span<const double>(load.tokensPerStep).subspan(layer * load.shape.experts, load.shape.experts);
}

std::optional<PlacementError> checkInput(const ExpertMap &map,
                                         const LoadEstimate &load,
                                         const SkewDiagnosis &diagnosis,
                                         const PlacementLimits &limits,
                                         const PlacementWeights &weights)
{
    const auto &shape = map.shape();
    if (!(shape == load.shape) || load.tokensPerStep.size() != shape.cellCount() || load.layers.size() != shape.layers
        || diagnosis.speeds.size() != shape.ranks || shape.ranks == 0 || shape.cellCount() == 0) {
        return PlacementError{PlacementErrorCode::WrongShape, shape.layers, shape.experts, shape.ranks};
    }
    if (!std::isfinite(weights.skew) || !std::isfinite(weights.cost) || weights.skew < 0 || weights.cost < 0) {
        return PlacementError{PlacementErrorCode::InvalidWeights, 0, 0, 0};
    }
    if (limits.slotsPerRankAndLayer == 0 || limits.bytesPerExpert == 0 || limits.storeBytesPerSecond == 0) {
        return PlacementError{PlacementErrorCode::InvalidLimits, 0, 0, 0};
    }
    if (const auto valid = map.validate(); !valid) {
        return valid.error();
    }
    return std::nullopt;
}

/// Tracks the memory of the ranks while a plan is built.
class MemoryUsage
{
public:
    MemoryUsage(const ExpertMap &map, const PlacementLimits &limits)
        : m_limits(limits)
        , m_total(map.shape().ranks, 0)
    {
        for (std::size_t layer = 0; layer < map.shape().layers; ++layer) {
            m_used.push_back(map.replicasPerRank(layer));
            for (std::size_t rank = 0; rank < m_total.size(); ++rank) {
                m_total[rank] += m_used.back()[rank];
            }
        }
    }

    /// Replicas that each rank can still take in the layer.
    std::vector<std::ptrdiff_t> freeSlots(std::size_t layer) const
    {
        std::vector<std::ptrdiff_t> slots(m_total.size());
        for (std::size_t rank = 0; rank < slots.size(); ++rank) {
            slots[rank] = free(layer, rank);
        }
        return slots;
    }

    std::ptrdiff_t free(std::size_t layer, std::size_t rank) const
    {
        const auto slots = static_cast<std::ptrdiff_t>(m_limits.slotsPerRankAndLayer)
            - static_cast<std::ptrdiff_t>(m_used[layer][rank]);
        if (m_limits.bytesPerRank == 0) {
            return slots;
        }
        const auto capacity = static_cast<std::ptrdiff_t>(m_limits.bytesPerRank / m_limits.bytesPerExpert);
        return std::min(slots, capacity - static_cast<std::ptrdiff_t>(m_total[rank]));
    }

    void add(std::size_t layer, std::size_t rank)
    {
        ++m_used[layer][rank];
        ++m_total[rank];
    }

    void drop(std::size_t layer, std::size_t rank)
    {
        --m_used[layer][rank];
        --m_total[rank];
    }

private:
    const PlacementLimits &m_limits;
    std::vector<std::vector<std::size_t>> m_used;
    std::vector<std::size_t> m_total;
};

void applyMove(MemoryUsage &memory, const ReplicaMove &move)
{
    if (move.kind == MoveKind::Add) {
        memory.add(move.layer, move.rank);
    } else {
        memory.drop(move.layer, move.rank);
    }
}

/// Splits the moves into runs that can each be staged as a whole, and returns the ends of the runs. Drops free memory
/// only at the end of their run. Returns nothing if a move does not fit even so.
std::optional<std::vector<std::size_t>>
findSwitchEnds(const std::vector<ReplicaMove> &moves, const ExpertMap &map, const PlacementLimits &limits)
{
    MemoryUsage memory(map, limits);
    std::vector<std::size_t> ends;
    std::vector<ReplicaMove> dropped;
    for (std::size_t index = 0; index < moves.size(); ++index) {
        const auto &move = moves[index];
        if (move.kind == MoveKind::Drop) {
            dropped.push_back(move);
            continue;
        }
        if (memory.free(move.layer, move.rank) <= 0) {
            ends.push_back(index);
            for (const auto &drop : dropped) {
                applyMove(memory, drop);
            }
            dropped.clear();
        }
        if (memory.free(move.layer, move.rank) <= 0) {
            return std::nullopt;
        }
        applyMove(memory, move);
    }
    ends.push_back(moves.size());
    return ends;
}

/// Reorders the moves: the first run of every layer, then the second runs, and so on. Each layer has its own slots, so
/// this needs as many switches as the layer with most runs, not the sum over the layers.
std::vector<ReplicaMove>
interleaveRunsOfLayers(const std::vector<ReplicaMove> &moves, const ExpertMap &map, const PlacementLimits &limits)
{
    MemoryUsage memory(map, limits);
    std::vector<std::size_t> runOfLayer(map.shape().layers, 0);
    std::vector<std::vector<ReplicaMove>> dropped(map.shape().layers);
    std::vector<std::vector<ReplicaMove>> runs;
    for (const auto &move : moves) {
        auto &run = runOfLayer[move.layer];
        if (move.kind == MoveKind::Add && memory.free(move.layer, move.rank) <= 0) {
            ++run;
            for (const auto &drop : dropped[move.layer]) {
                applyMove(memory, drop);
            }
            dropped[move.layer].clear();
        }
        if (move.kind == MoveKind::Add) {
            applyMove(memory, move);
        } else {
            dropped[move.layer].push_back(move);
        }
        runs.resize(std::max(runs.size(), run + 1));
        runs[run].push_back(move);
    }
    std::vector<ReplicaMove> ordered;
    for (const auto &run : runs) {
        ordered.insert(ordered.end(), run.begin(), run.end());
    }
    return ordered;
}

} // namespace

/// The state of one decision while it is made.
class Planner::DecisionBuilder
{
public:
    DecisionBuilder(const Planner &planner,
                    const ExpertMap &map,
                    const LoadEstimate &load,
                    const SkewDiagnosis &diagnosis,
                    const PlacementLimits &limits,
                    const PlacementWeights &weights,
                    SteadyTime now)
        : m_planner(planner)
        , m_options(planner.m_options)
        , m_map(map)
        , m_load(load)
        , m_diagnosis(diagnosis)
        , m_limits(limits)
        , m_weights(weights)
        , m_now(now)
        , m_fullSearches(m_options.fullSearches)
    {
    }

    PlacementDecision decide()
    {
        for (std::size_t layer = 0; layer < m_map.shape().layers; ++layer) {
            measureLayer(layer);
        }
        if (const auto reason = reasonToWait()) {
            return keep(*reason);
        }
        if (m_imbalancedLayers.empty()) {
            return keep(KeepMapReason::Balanced);
        }
        std::stable_sort(m_imbalancedLayers.begin(),
                         m_imbalancedLayers.end(),
                         [](const LayerImbalance &left, const LayerImbalance &right) {
                             return left.loads.slowest - left.loads.bound > right.loads.slowest - right.loads.bound;
                         });
        MemoryUsage memory(m_map, m_limits);
        for (std::size_t index = 0; index < m_imbalancedLayers.size(); ++index) {
            // The first moves of a layer gain most, so the remaining transfers are divided among the remaining layers.
            const auto layersLeft = m_imbalancedLayers.size() - index;
            planLayer(m_imbalancedLayers[index], (transfersLeft() + layersLeft - 1) / layersLeft, memory);
        }
        return m_plan.moves.empty() ? keep(reasonWithoutMoves()) : finish();
    }

private:
    /// A layer whose slowest rank is above the lower bound.
    struct LayerImbalance {
        std::size_t layer = 0;
        LayerLoads loads;
        StepVariation variation;
        /// Apparent gain that errors of the estimate alone can cause.
        double noise = 0;
    };
    /// The first steps of a layer's plan, with their gain and score.
    struct Prefix {
        std::size_t steps = 0;
        std::size_t transfers = 0;
        double slowest = 0;
        double gainRankSeconds = 0;
        double score = 0;
    };

    void measureLayer(std::size_t layer)
    {
        const auto &outlook = m_load.layers[layer];
        const auto &shape = m_map.shape();
        LayerImbalance imbalance;
        imbalance.layer = layer;
        imbalance.variation = stepVariation(outlook.burstDeviation, shape.ranks);
        imbalance.loads = layerLoads(m_map,
                                     layer,
                                     layerOf(m_load, layer),
                                     m_diagnosis.speeds,
                                     imbalance.variation,
                                     shape.ranks * m_limits.slotsPerRankAndLayer);
        const double error = outlook.relativeError * imbalance.loads.errorFactor;
        imbalance.noise = isSignificant(imbalance.loads, error)
            ? 0
            : (hasRecentLoad(layer) ? m_options.noiseMarginRecentLoad : m_options.noiseMargin)
                * imbalance.variation.maximumDeviations * error;
        m_slowest += imbalance.loads.slowest;
        m_ideal += imbalance.loads.ideal;
        if (imbalance.loads.slowest - imbalance.loads.bound > requiredGain(imbalance)) {
            m_imbalancedLayers.push_back(imbalance);
        }
    }

    /// Whether the spread over all ranks exceeds what errors of the estimate explain, both of the present one and of
    /// the one that the map was planned for.
    bool isSignificant(const LayerLoads &loads, double error) const
    {
        const double degreesOfFreedom = std::max(1.0, static_cast<double>(m_map.shape().ranks) - 1);
        const double limit
            = 2 * error * error * (1 + m_options.significanceDeviations * std::sqrt(2 / degreesOfFreedom));
        return loads.spread * loads.spread > limit;
    }

    bool hasRecentLoad(std::size_t layer) const
    {
        return m_load.layers[layer].expectedDuration < m_options.recentLoadAge;
    }

    double requiredGain(const LayerImbalance &imbalance) const
    {
        return imbalance.noise
            + (hasRecentLoad(imbalance.layer) ? m_options.requiredGainRecentLoad : m_options.requiredGain)
            * imbalance.loads.ideal;
    }

    std::optional<KeepMapReason> reasonToWait() const
    {
        if (m_load.observedFor < m_options.warmUp || m_diagnosis.microsecondsPerToken <= 0) {
            return KeepMapReason::TooLittleData;
        }
        if (m_now - m_load.newestReport > m_options.staleAfter) {
            return KeepMapReason::StaleReports;
        }
        if (m_diagnosis.kind == SkewKind::PassingStall) {
            return KeepMapReason::PassingStall;
        }
        if (!m_imbalancedLayers.empty() && transfersLeft() == 0) {
            return KeepMapReason::StoreBusy;
        }
        return std::nullopt;
    }

    KeepMapReason reasonWithoutMoves() const
    {
        if (m_refusedCost > 0) {
            return KeepMapReason::GainBelowCost;
        }
        return m_movesInCooldown > 0 ? KeepMapReason::CoolingDown : KeepMapReason::NoUsefulMove;
    }

    double backlogSeconds() const
    {
        const auto backlog = std::max(m_planner.m_storeBusyUntil, m_now) - m_now;
        return std::chrono::duration<double>(backlog).count();
    }

    double transferSeconds(std::size_t transfers) const
    {
        return static_cast<double>(transfers) * static_cast<double>(m_limits.bytesPerExpert)
            / static_cast<double>(m_limits.storeBytesPerSecond);
    }

    std::size_t transfersLeft() const
    {
        const double seconds = static_cast<double>(m_options.maximumTransferTime.count()) - backlogSeconds();
        const auto possible = static_cast<std::size_t>(std::max(0.0, seconds) / transferSeconds(1));
        return possible - std::min(possible, m_transfers);
    }

    void planLayer(const LayerImbalance &imbalance, std::size_t transferLimit, MemoryUsage &memory)
    {
        internal::LayerBalancer balancer(m_map,
                                         static_cast<LayerIndex>(imbalance.layer),
                                         layerOf(m_load, imbalance.layer),
                                         m_diagnosis.speeds,
                                         imbalance.variation,
                                         memory.freeSlots(imbalance.layer),
                                         m_planner.m_history,
                                         m_now,
                                         m_fullSearches);
        std::vector<internal::BalanceStep> steps;
        Prefix reached;
        Prefix best;
        while (steps.size() < m_options.maximumStepsPerLayer
               && balancer.slowest() > imbalance.loads.bound + m_options.balancedTolerance * imbalance.loads.ideal) {
            const auto step = balancer.improve();
            if (!step || reached.transfers + step->transfers > transferLimit) {
                break;
            }
            steps.push_back(*step);
            reached.steps = steps.size();
            reached.transfers += step->transfers;
            reached.slowest = step->slowest;
            evaluatePrefix(imbalance, reached);
            if (reached.score > best.score && imbalance.loads.slowest - reached.slowest > requiredGain(imbalance)) {
                best = reached;
            } else if (steps.size() > best.steps + m_options.stepsWithoutGain) {
                break;
            }
        }
        m_movesInCooldown += balancer.stepsInCooldown();
        m_fullSearches = balancer.fullSearchesLeft();
        if (best.steps == 0) {
            recordRefused(reached);
            return;
        }
        accept(imbalance, best, steps, memory);
    }

    void evaluatePrefix(const LayerImbalance &imbalance, Prefix &prefix) const
    {
        const double tokens = imbalance.loads.slowest - prefix.slowest - imbalance.noise;
        const double delay = backlogSeconds() + transferSeconds(m_transfers + prefix.transfers);
        const auto expected = static_cast<double>(m_load.layers[imbalance.layer].expectedDuration.count());
        const double stepsLeft = m_load.stepsPerSecond * std::max(0.0, expected - delay);
        const double rankSecondsPerStep = tokens * m_diagnosis.microsecondsPerToken / microsecondsPerSecond
            * static_cast<double>(m_map.shape().ranks);
        prefix.gainRankSeconds = std::max(0.0, rankSecondsPerStep * stepsLeft);
        prefix.score = weightedGain(prefix) - weightedCost(prefix);
    }

    double weightedGain(const Prefix &prefix) const
    {
        return m_weights.skew * m_planner.m_confidence * prefix.gainRankSeconds;
    }

    double weightedCost(const Prefix &prefix) const
    {
        return m_weights.cost * m_options.rankSecondsPerGigabyte * static_cast<double>(prefix.transfers)
            * static_cast<double>(m_limits.bytesPerExpert) / bytesPerGigabyte;
    }

    void recordRefused(const Prefix &reached)
    {
        if (reached.steps > 0 && weightedCost(reached) > m_refusedCost) {
            m_refusedGain = weightedGain(reached);
            m_refusedCost = weightedCost(reached);
        }
    }

    void accept(const LayerImbalance &imbalance,
                const Prefix &prefix,
                const std::vector<internal::BalanceStep> &steps,
                MemoryUsage &memory)
    {
        for (std::size_t index = 0; index < prefix.steps; ++index) {
            for (const auto &move : steps[index].moves) {
                m_plan.moves.push_back(move);
                applyMove(memory, move);
            }
        }
        LayerChange change;
        change.layer = static_cast<LayerIndex>(imbalance.layer);
        change.transfers = prefix.transfers;
        change.slowestBeforeMicroseconds = imbalance.loads.slowest * m_diagnosis.microsecondsPerToken;
        change.slowestAfterMicroseconds = prefix.slowest * m_diagnosis.microsecondsPerToken;
        change.gainRankSeconds = prefix.gainRankSeconds;
        m_plan.layers.push_back(change);
        m_plan.gainRankSeconds += prefix.gainRankSeconds;
        m_plan.score += prefix.score;
        m_transfers += prefix.transfers;
        m_slowestAfterChange += prefix.slowest - imbalance.loads.slowest;
    }

    PlacementDecision finish()
    {
        // With a limit on the bytes over all layers, the interleaved order may not fit; the planned order always does.
        auto interleaved = interleaveRunsOfLayers(m_plan.moves, m_map, m_limits);
        auto ends = findSwitchEnds(interleaved, m_map, m_limits);
        if (ends) {
            m_plan.moves = std::move(interleaved);
        } else {
            ends = findSwitchEnds(m_plan.moves, m_map, m_limits);
        }
        m_plan.switchEnds = ends.value();
        m_plan.cause = m_diagnosis.kind == SkewKind::None ? SkewKind::PopularExperts : m_diagnosis.kind;
        m_plan.slowestBeforeMicroseconds = m_slowest * m_diagnosis.microsecondsPerToken;
        m_plan.slowestAfterMicroseconds = (m_slowest + m_slowestAfterChange) * m_diagnosis.microsecondsPerToken;
        m_plan.bytes = m_transfers * m_limits.bytesPerExpert;
        m_plan.transferTime = Milliseconds(static_cast<std::int64_t>(std::ceil(transferSeconds(m_transfers) * 1000)));
        m_plan.confidence = m_planner.m_confidence;
        return std::move(m_plan);
    }

    PlacementDecision keep(KeepMapReason reason) const
    {
        KeepMapDecision result;
        result.reason = reason;
        result.skew = m_diagnosis.kind;
        result.rank = m_diagnosis.rank;
        result.measuredSkew = m_diagnosis.measuredSkew;
        result.slowestMicroseconds = m_slowest * m_diagnosis.microsecondsPerToken;
        result.idealMicroseconds = m_ideal * m_diagnosis.microsecondsPerToken;
        result.refusedGain = m_refusedGain;
        result.refusedCost = m_refusedCost;
        result.movesInCooldown = m_movesInCooldown;
        result.confidence = m_planner.m_confidence;
        return result;
    }

    const Planner &m_planner;
    const PlannerOptions &m_options;
    const ExpertMap &m_map;
    const LoadEstimate &m_load;
    const SkewDiagnosis &m_diagnosis;
    const PlacementLimits &m_limits;
    const PlacementWeights &m_weights;
    SteadyTime m_now;
    std::size_t m_fullSearches;
    std::vector<LayerImbalance> m_imbalancedLayers;
    PlacementPlan m_plan;
    std::size_t m_transfers = 0;
    std::size_t m_movesInCooldown = 0;
    double m_slowest = 0;
    double m_slowestAfterChange = 0;
    double m_ideal = 0;
    double m_refusedGain = 0;
    double m_refusedCost = 0;
};

Planner::Planner(const PlannerOptions &options)
    : m_options(options)
    , m_history(options.cooldown)
{
}

Result<PlacementDecision, PlacementError> Planner::decide(const ExpertMap &map,
                                                          const LoadEstimate &load,
                                                          const SkewDiagnosis &diagnosis,
                                                          const PlacementLimits &limits,
                                                          const PlacementWeights &weights,
                                                          SteadyTime now) const
{
    if (const auto error = checkInput(map, load, diagnosis, limits, weights)) {
        return failure(*error);
    }
    return DecisionBuilder(*this, map, load, diagnosis, limits, weights, now).decide();
}

void Planner::planStarted(const PlacementPlan &plan, const ExpertMap &before, const ExpertMap &after, SteadyTime now)
{
    m_history.record(plan.moves, now);
    m_storeBusyUntil = std::max(m_storeBusyUntil, now) + plan.transferTime;
    // Only one prediction is kept at a time, which limits the memory to two maps.
    if (!m_prediction) {
        const double predicted = plan.slowestBeforeMicroseconds - plan.slowestAfterMicroseconds;
        m_prediction = Prediction{before, after, predicted, now + plan.transferTime + m_options.evaluateAfter};
    }
}

void Planner::updateConfidence(const LoadEstimate &load, const SkewDiagnosis &diagnosis, SteadyTime now)
{
    if (!m_prediction || now < m_prediction->evaluateAt) {
        return;
    }
    double tokens = 0;
    for (std::size_t layer = 0; layer < load.shape.layers; ++layer) {
        const auto variation = stepVariation(load.layers[layer].burstDeviation, load.shape.ranks);
        const auto slowest = [&](const ExpertMap &map) {
            return layerLoads(map, layer, layerOf(load, layer), diagnosis.speeds, variation, 1).slowest;
        };
        tokens += slowest(m_prediction->before) - slowest(m_prediction->after);
    }
    const double actual = tokens * diagnosis.microsecondsPerToken;
    const double ratio = m_prediction->microsecondsPerStep > 0 ? actual / m_prediction->microsecondsPerStep : 1;
    m_confidence += m_options.learningRate * (std::clamp(ratio, -1.0, 1.0) - m_confidence);
    m_confidence = std::clamp(m_confidence, m_options.minimumConfidence, 1.0);
    m_prediction.reset();
}

double Planner::confidence() const
{
    return m_confidence;
}

} // namespace Cardamomhill
