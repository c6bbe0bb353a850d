#include "placement/planner.h"

#include "placement/layerbalancer.h"
#include "placement/layertimes.h"

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
    if (!(shape == load.shape) || load.tokensPerStep.size() != shape.cells() || load.layers.size() != shape.layers
        || diagnosis.speeds.size() != shape.ranks || shape.ranks == 0 || shape.cells() == 0) {
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

/// Memory of the ranks while a plan is built.
class MemoryBook
{
public:
    MemoryBook(const ExpertMap &map, const PlacementLimits &limits)
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

    /// Replicas that each rank can take in the layer.
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

void applyTo(MemoryBook &memory, const ReplicaMove &move)
{
    if (move.kind == MoveKind::Add) {
        memory.add(move.layer, move.rank);
    } else {
        memory.drop(move.layer, move.rank);
    }
}

/// Where the runs of moves end that can be staged as a whole: drops free memory only when their run has ended. Nothing
/// when a move does not fit at all.
std::optional<std::vector<std::size_t>>
switchEndsOf(const std::vector<ReplicaMove> &moves, const ExpertMap &map, const PlacementLimits &limits)
{
    MemoryBook memory(map, limits);
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
                applyTo(memory, drop);
            }
            dropped.clear();
        }
        if (memory.free(move.layer, move.rank) <= 0) {
            return std::nullopt;
        }
        applyTo(memory, move);
    }
    ends.push_back(moves.size());
    return ends;
}

/// The moves with the first run of every layer in front, then the second runs, and so on. Layers have slots of their
/// own, so this needs as many switches as the layer with most runs, not the sum over the layers.
std::vector<ReplicaMove>
runsOfLayersTogether(const std::vector<ReplicaMove> &moves, const ExpertMap &map, const PlacementLimits &limits)
{
    MemoryBook memory(map, limits);
    std::vector<std::size_t> runOfLayer(map.shape().layers, 0);
    std::vector<std::vector<ReplicaMove>> dropped(map.shape().layers);
    std::vector<std::vector<ReplicaMove>> runs;
    for (const auto &move : moves) {
        auto &run = runOfLayer[move.layer];
        if (move.kind == MoveKind::Add && memory.free(move.layer, move.rank) <= 0) {
            ++run;
            for (const auto &drop : dropped[move.layer]) {
                applyTo(memory, drop);
            }
            dropped[move.layer].clear();
        }
        if (move.kind == MoveKind::Add) {
            applyTo(memory, move);
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

/// One decision in the making.
class Planner::Attempt
{
public:
    Attempt(const Planner &planner,
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
        , m_wideSearches(m_options.wideSearches)
    {
    }

    PlacementDecision decide()
    {
        for (std::size_t layer = 0; layer < m_map.shape().layers; ++layer) {
            measure(layer);
        }
        if (const auto reason = reasonToWait()) {
            return keep(*reason);
        }
        if (m_triggered.empty()) {
            return keep(KeepReason::Balanced);
        }
        std::stable_sort(m_triggered.begin(), m_triggered.end(), [](const Excess &left, const Excess &right) {
            return left.times.slowest - left.times.bound > right.times.slowest - right.times.bound;
        });
        MemoryBook memory(m_map, m_limits);
        for (std::size_t index = 0; index < m_triggered.size(); ++index) {
            // The first moves of a layer gain most, so no layer uses up the transfers of the others.
            const auto layersLeft = m_triggered.size() - index;
            planLayer(m_triggered[index], (transfersLeft() + layersLeft - 1) / layersLeft, memory);
        }
        return m_plan.moves.empty() ? keep(reasonWithoutMoves()) : finish();
    }

private:
    struct Excess {
        std::size_t layer = 0;
        LayerTimes times;
        StepVariation variation;
        /// Gain that errors of the estimate alone can suggest.
        double noise = 0;
    };
    /// The first steps of a layer, as far as they pay.
    struct Prefix {
        std::size_t steps = 0;
        std::size_t transfers = 0;
        double slowest = 0;
        double gainRankSeconds = 0;
        double score = 0;
    };

    void measure(std::size_t layer)
    {
        const auto &outlook = m_load.layers[layer];
        const auto &shape = m_map.shape();
        Excess excess;
        excess.layer = layer;
        excess.variation = stepVariation(outlook.burstDeviation, shape.ranks);
        excess.times = layerTimes(m_map,
                                  layer,
                                  layerOf(m_load, layer),
                                  m_diagnosis.speeds,
                                  excess.variation,
                                  shape.ranks * m_limits.slotsPerRankAndLayer);
        const double error = outlook.relativeError * excess.times.errorFactor;
        excess.noise = isSignificant(excess.times, error)
            ? 0
            : (isYoung(layer) ? m_options.noiseMarginYoung : m_options.noiseMargin) * excess.variation.maximumDeviations
                * error;
        m_slowest += excess.times.slowest;
        m_ideal += excess.times.ideal;
        if (excess.times.slowest - excess.times.bound > requiredGain(excess)) {
            m_triggered.push_back(excess);
        }
    }

    /// True when the spread over all ranks exceeds what errors of the estimate explain: those of the present estimate,
    /// and those of the estimate that the map was made for.
    bool isSignificant(const LayerTimes &times, double error) const
    {
        const double degreesOfFreedom = std::max(1.0, static_cast<double>(m_map.shape().ranks) - 1);
        const double limit = 2 * error * error * (1 + m_options.significance * std::sqrt(2 / degreesOfFreedom));
        return times.spread * times.spread > limit;
    }

    bool isYoung(std::size_t layer) const
    {
        return m_load.layers[layer].expectedDuration < m_options.youngLoad;
    }

    double requiredGain(const Excess &excess) const
    {
        return excess.noise
            + (isYoung(excess.layer) ? m_options.requiredGainYoung : m_options.requiredGain) * excess.times.ideal;
    }

    std::optional<KeepReason> reasonToWait() const
    {
        if (m_load.observedFor < m_options.warmUp || m_diagnosis.microsecondsPerToken <= 0) {
            return KeepReason::TooLittleData;
        }
        if (m_now - m_load.newestReport > m_options.staleAfter) {
            return KeepReason::StaleReports;
        }
        if (m_diagnosis.kind == SkewKind::PassingStall) {
            return KeepReason::PassingStall;
        }
        if (!m_triggered.empty() && transfersLeft() == 0) {
            return KeepReason::StoreBusy;
        }
        return std::nullopt;
    }

    KeepReason reasonWithoutMoves() const
    {
        if (m_refusedCost > 0) {
            return KeepReason::GainBelowCost;
        }
        return m_coolingMoves > 0 ? KeepReason::CoolingDown : KeepReason::NoUsefulMove;
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

    void planLayer(const Excess &excess, std::size_t transferLimit, MemoryBook &memory)
    {
        internal::LayerBalancer balancer(m_map,
                                         static_cast<LayerIndex>(excess.layer),
                                         layerOf(m_load, excess.layer),
                                         m_diagnosis.speeds,
                                         excess.variation,
                                         memory.freeSlots(excess.layer),
                                         m_planner.m_history,
                                         m_now,
                                         m_wideSearches);
        std::vector<internal::BalanceStep> steps;
        Prefix reached;
        Prefix best;
        while (steps.size() < m_options.maximumStepsPerLayer
               && balancer.slowest() > excess.times.bound + m_options.settleBand * excess.times.ideal) {
            const auto step = balancer.improve();
            if (!step || reached.transfers + step->transfers > transferLimit) {
                break;
            }
            steps.push_back(*step);
            reached.steps = steps.size();
            reached.transfers += step->transfers;
            reached.slowest = step->slowest;
            rate(excess, reached);
            if (reached.score > best.score && excess.times.slowest - reached.slowest > requiredGain(excess)) {
                best = reached;
            } else if (steps.size() > best.steps + m_options.stepsWithoutGain) {
                break;
            }
        }
        m_coolingMoves += balancer.coolingSteps();
        m_wideSearches = balancer.wideSearchesLeft();
        if (best.steps == 0) {
            noteRefused(reached);
            return;
        }
        accept(excess, best, steps, memory);
    }

    void rate(const Excess &excess, Prefix &prefix) const
    {
        const double tokens = excess.times.slowest - prefix.slowest - excess.noise;
        const double delay = backlogSeconds() + transferSeconds(m_transfers + prefix.transfers);
        const auto expected = static_cast<double>(m_load.layers[excess.layer].expectedDuration.count());
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

    void noteRefused(const Prefix &reached)
    {
        if (reached.steps > 0 && weightedCost(reached) > m_refusedCost) {
            m_refusedGain = weightedGain(reached);
            m_refusedCost = weightedCost(reached);
        }
    }

    void accept(const Excess &excess,
                const Prefix &prefix,
                const std::vector<internal::BalanceStep> &steps,
                MemoryBook &memory)
    {
        for (std::size_t index = 0; index < prefix.steps; ++index) {
            for (const auto &move : steps[index].moves) {
                m_plan.moves.push_back(move);
                applyTo(memory, move);
            }
        }
        LayerChange change;
        change.layer = static_cast<LayerIndex>(excess.layer);
        change.transfers = prefix.transfers;
        change.slowestBeforeMicroseconds = excess.times.slowest * m_diagnosis.microsecondsPerToken;
        change.slowestAfterMicroseconds = prefix.slowest * m_diagnosis.microsecondsPerToken;
        change.gainRankSeconds = prefix.gainRankSeconds;
        m_plan.layers.push_back(change);
        m_plan.gainRankSeconds += prefix.gainRankSeconds;
        m_plan.score += prefix.score;
        m_transfers += prefix.transfers;
        m_slowestAfterChange += prefix.slowest - excess.times.slowest;
    }

    PlacementDecision finish()
    {
        // With a limit on the bytes of all layers, the order by runs may not fit; the order of planning always does.
        auto together = runsOfLayersTogether(m_plan.moves, m_map, m_limits);
        auto ends = switchEndsOf(together, m_map, m_limits);
        if (ends) {
            m_plan.moves = std::move(together);
        } else {
            ends = switchEndsOf(m_plan.moves, m_map, m_limits);
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

    PlacementDecision keep(KeepReason reason) const
    {
        KeepMap result;
        result.reason = reason;
        result.skew = m_diagnosis.kind;
        result.rank = m_diagnosis.rank;
        result.measuredSkew = m_diagnosis.measuredSkew;
        result.slowestMicroseconds = m_slowest * m_diagnosis.microsecondsPerToken;
        result.idealMicroseconds = m_ideal * m_diagnosis.microsecondsPerToken;
        result.refusedGain = m_refusedGain;
        result.refusedCost = m_refusedCost;
        result.coolingMoves = m_coolingMoves;
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
    std::size_t m_wideSearches;
    std::vector<Excess> m_triggered;
    PlacementPlan m_plan;
    std::size_t m_transfers = 0;
    std::size_t m_coolingMoves = 0;
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
    return Attempt(*this, map, load, diagnosis, limits, weights, now).decide();
}

void Planner::adopted(const PlacementPlan &plan, const ExpertMap &before, const ExpertMap &after, SteadyTime now)
{
    m_history.record(plan.moves, now);
    m_storeBusyUntil = std::max(m_storeBusyUntil, now) + plan.transferTime;
    // One promise at a time bounds the memory to two maps.
    if (!m_promise) {
        const double promised = plan.slowestBeforeMicroseconds - plan.slowestAfterMicroseconds;
        m_promise = Promise{before, after, promised, now + plan.transferTime + m_options.evaluateAfter};
    }
}

void Planner::learn(const LoadEstimate &load, const SkewDiagnosis &diagnosis, SteadyTime now)
{
    if (!m_promise || now < m_promise->due) {
        return;
    }
    double tokens = 0;
    for (std::size_t layer = 0; layer < load.shape.layers; ++layer) {
        const auto variation = stepVariation(load.layers[layer].burstDeviation, load.shape.ranks);
        const auto slowest = [&](const ExpertMap &map) {
            return layerTimes(map, layer, layerOf(load, layer), diagnosis.speeds, variation, 1).slowest;
        };
        tokens += slowest(m_promise->before) - slowest(m_promise->after);
    }
    const double actual = tokens * diagnosis.microsecondsPerToken;
    const double ratio = m_promise->microsecondsPerStep > 0 ? actual / m_promise->microsecondsPerStep : 1;
    m_confidence += m_options.learningRate * (std::clamp(ratio, -1.0, 1.0) - m_confidence);
    m_confidence = std::clamp(m_confidence, m_options.minimumConfidence, 1.0);
    m_promise.reset();
}

double Planner::confidence() const
{
    return m_confidence;
}

} // namespace Cardamomhill
