#include "placement/placement.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

namespace Cardamomhill
{

namespace
{

constexpr std::uint64_t expertBytes = 1'000'000;

enum class Violation { None, MoveRefused, MemoryExceeded, ExpertUnserved, StagingExceeded, PredictedWorse, NoGain };

/// All input of a decision.
struct Scene {
    ExpertMap map{GroupShape{}};
    LoadEstimate load;
    SkewDiagnosis diagnosis;
    PlacementLimits limits;
    PlacementWeights weights;
};

SteadyTime at(std::int64_t seconds)
{
    return SteadyTime(Seconds(1000 + seconds));
}

bool fits(const ExpertMap &map, const PlacementLimits &limits)
{
    std::vector<std::size_t> total(map.shape().ranks, 0);
    for (std::size_t layer = 0; layer < map.shape().layers; ++layer) {
        const auto counts = map.replicasPerRank(layer);
        for (std::size_t rank = 0; rank < counts.size(); ++rank) {
            total[rank] += counts[rank];
            if (counts[rank] > limits.slotsPerRankAndLayer) {
                return false;
            }
        }
    }
    return limits.bytesPerRank == 0 || std::all_of(total.begin(), total.end(), [&](std::size_t replicas) {
               return replicas * limits.bytesPerExpert <= limits.bytesPerRank;
           });
}

/// Whether memory suffices while a run of moves is staged, when all replicas are added and none is dropped yet.
bool fitsWhileStaged(ExpertMap map, std::span<const ReplicaMove> run, const PlacementLimits &limits)
{
    for (const auto &move : run) {
        if (move.kind == MoveKind::Add) {
            (void)map.apply(move);
        }
    }
    return fits(map, limits);
}

double totalSlowestLoad(const Scene &scene, const ExpertMap &map)
{
    const auto &shape = map.shape();
    double sum = 0;
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        const std::span<const double> tokens(scene.load.tokensPerStep);
        const auto variation = stepVariation(scene.load.layers[layer].burstDeviation, shape.ranks);
        sum += layerLoads(map,
                          layer,
                          tokens.subspan(layer * shape.experts, shape.experts),
                          scene.diagnosis.speeds,
                          variation,
                          1)
                   .slowest;
    }
    return sum;
}

Violation check(const Scene &scene, const PlacementPlan &plan)
{
    auto map = scene.map;
    std::size_t begin = 0;
    for (const auto end : plan.switchEnds) {
        const std::span<const ReplicaMove> run(plan.moves.data() + begin, end - begin);
        if (!fitsWhileStaged(map, run, scene.limits)) {
            return Violation::StagingExceeded;
        }
        for (const auto &move : run) {
            const auto applied = map.apply(move);
            if (!applied) {
                return applied.error().code == PlacementErrorCode::ExpertWithoutReplica ? Violation::ExpertUnserved
                                                                                        : Violation::MoveRefused;
            }
            if (!fits(map, scene.limits)) {
                return Violation::MemoryExceeded;
            }
        }
        begin = end;
    }
    if (begin != plan.moves.size()) {
        return Violation::MoveRefused;
    }
    if (totalSlowestLoad(scene, map) > totalSlowestLoad(scene, scene.map)
        || plan.slowestAfterMicroseconds > plan.slowestBeforeMicroseconds) {
        return Violation::PredictedWorse;
    }
    return plan.score > 0 && plan.gainRankSeconds > 0 ? Violation::None : Violation::NoGain;
}

rc::Gen<Scene> anyScene()
{
    return rc::gen::exec([] {
        Random random(*rc::gen::arbitrary<std::uint32_t>());
        const auto from = [&](std::size_t low, std::size_t high) { return low + random() % (high - low + 1); };
        const std::size_t ranks = from(2, 8);
        const GroupShape shape{ranks, from(1, 3), ranks * from(2, 6)};
        Scene scene;
        scene.map = ExpertMap::contiguous(shape);
        scene.limits.slotsPerRankAndLayer = shape.experts / ranks + from(0, 3);
        scene.limits.bytesPerExpert = expertBytes;
        scene.limits.storeBytesPerSecond = expertBytes * from(1, 100);
        if (random() % 2 == 0) {
            scene.limits.bytesPerRank = expertBytes * (shape.layers * shape.experts / ranks + from(0, 4));
        }
        for (std::size_t extra = from(0, shape.cellCount()); extra > 0; --extra) {
            auto grown = scene.map;
            const ReplicaMove move{MoveKind::Add,
                                   static_cast<LayerIndex>(random() % shape.layers),
                                   static_cast<ExpertIndex>(random() % shape.experts),
                                   static_cast<RankIndex>(random() % ranks)};
            if (grown.apply(move) && fits(grown, scene.limits)) {
                scene.map = grown;
            }
        }
        scene.weights = {static_cast<double>(from(1, 10)), static_cast<double>(from(0, 10))};
        scene.load.shape = shape;
        std::lognormal_distribution<double> popularity(3, 1);
        for (std::size_t cell = 0; cell < shape.cellCount(); ++cell) {
            scene.load.tokensPerStep.push_back(popularity(random));
        }
        for (std::size_t layer = 0; layer < shape.layers; ++layer) {
            const auto duration = Seconds(static_cast<std::int64_t>(from(60, 600)));
            scene.load.layers.push_back(
                {0.01 * static_cast<double>(from(0, 5)), 0.1 * static_cast<double>(from(0, 3)), duration});
        }
        scene.load.stepsPerSecond = 30;
        scene.load.observedFor = Seconds(600);
        scene.load.newestReport = at(0);
        scene.diagnosis.microsecondsPerToken = 0.5;
        scene.diagnosis.speeds.assign(ranks, 1);
        scene.diagnosis.speeds[random() % ranks] = random() % 3 == 0 ? 0.6 : 1;
        return scene;
    });
}

PlacementDecision decide(const Scene &scene, const Planner &planner = Planner())
{
    return planner.decide(scene.map, scene.load, scene.diagnosis, scene.limits, scene.weights, at(0)).value();
}

/// Simulates a group whose ranks report every ten seconds. Noise is log-normal, relative to an expert's tokens.
class Group
{
public:
    Group(const GroupShape &shape, const RebalancerOptions &options = {})
        : m_shape(shape)
        , m_limits{shape.experts / shape.ranks + 2, 0, expertBytes, 100 * expertBytes}
        , m_rebalancer(ExpertMap::contiguous(shape), m_limits, PlacementWeights{1, 1}, options)
        , m_tokens(shape.cellCount(), 100)
        , m_burst(shape.cellCount(), 0)
        , m_slowdown(shape.ranks, 1)
        , m_reports(shape.ranks)
    {
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            m_reports[rank].rank = static_cast<RankIndex>(rank);
            m_reports[rank].tokens.assign(shape.cellCount(), 0);
            (void)m_rebalancer.observe(m_reports[rank]);
        }
    }

    /// Simulates one report interval. The reports of the ranks in `lost` are lost.
    void run(std::span<const std::size_t> lost = {})
    {
        m_seconds += 10;
        constexpr std::uint64_t steps = 300;
        std::normal_distribution<double> normal;
        std::vector<double> busy(m_shape.ranks, 0);
        std::vector<std::uint64_t> counts(m_shape.cellCount());
        const double keep = std::exp(-10.0 / burstSeconds);
        for (std::size_t cell = 0; cell < m_shape.cellCount(); ++cell) {
            m_burst[cell] = keep * m_burst[cell] + std::sqrt(1 - keep * keep) * noise * normal(random);
            const double tokens = m_tokens[cell] * std::exp(m_burst[cell]);
            counts[cell] = static_cast<std::uint64_t>(tokens * steps / static_cast<double>(m_shape.ranks));
            const auto &holders = m_rebalancer.map().replicas(cell / m_shape.experts, cell % m_shape.experts);
            for (const auto rank : holders) {
                busy[rank] += tokens / static_cast<double>(holders.size()) * m_slowdown[rank];
            }
        }
        for (auto &report : m_reports) {
            ++report.sequence;
            report.steps += steps;
            report.receivedAt = at(m_seconds);
            report.busyTime += Microseconds(static_cast<std::int64_t>(busy[report.rank] * steps));
            for (std::size_t cell = 0; cell < counts.size(); ++cell) {
                report.tokens[cell] += counts[cell];
            }
            if (std::find(lost.begin(), lost.end(), report.rank) == lost.end()) {
                (void)m_rebalancer.observe(report);
            }
        }
        m_rebalancer.advance(at(m_seconds));
    }

    /// Simulates intervals, with every plan carried out immediately. Returns the moves made after `afterSeconds`.
    std::vector<ReplicaMove> runAndRebalance(int intervals, std::int64_t afterSeconds)
    {
        std::vector<ReplicaMove> moves;
        for (int interval = 0; interval < intervals; ++interval) {
            run();
            const auto decided = decision();
            if (const auto *plan = std::get_if<PlacementPlan>(&decided)) {
                m_rebalancer.mapSwitched(m_rebalancer.startPlan(*plan, at(m_seconds)).value());
                if (m_seconds > afterSeconds) {
                    moves.insert(moves.end(), plan->moves.begin(), plan->moves.end());
                }
            }
        }
        return moves;
    }

    PlacementDecision decision() const
    {
        return m_rebalancer.decide(at(m_seconds)).value();
    }

    double noise = 0;
    double burstSeconds = 0.001;
    Random random{20261204};

    std::vector<double> &tokens()
    {
        return m_tokens;
    }
    std::vector<double> &slowdown()
    {
        return m_slowdown;
    }
    std::vector<RankReport> &reports()
    {
        return m_reports;
    }
    Rebalancer &rebalancer()
    {
        return m_rebalancer;
    }

private:
    GroupShape m_shape;
    PlacementLimits m_limits;
    Rebalancer m_rebalancer;
    std::vector<double> m_tokens;
    std::vector<double> m_burst;
    std::vector<double> m_slowdown;
    std::vector<RankReport> m_reports;
    std::int64_t m_seconds = 0;
};

constexpr GroupShape smallGroup{8, 2, 64};

void skewPopularity(Group &group)
{
    std::lognormal_distribution<double> popularity(4.5, 0.8);
    for (auto &tokens : group.tokens()) {
        tokens = popularity(group.random);
    }
}

bool isPlan(const PlacementDecision &decision)
{
    return std::holds_alternative<PlacementPlan>(decision);
}

} // namespace

TEST_CASE("a plan leaves every expert a replica, stays within memory, and is never predicted to make steps longer")
{
    std::size_t plans = 0;
    CHECK(rc::check("every plan passes the checker", [&plans] {
        const auto scene = *anyScene();
        const auto decision = decide(scene);
        if (const auto *plan = std::get_if<PlacementPlan>(&decision)) {
            ++plans;
            RC_ASSERT(check(scene, *plan) == Violation::None);
            RC_ASSERT(plan->bytes <= scene.limits.storeBytesPerSecond * 60);
        }
    }));
    // Without plans the property would hold trivially.
    CHECK(plans > 30);
}

TEST_CASE("a decision depends on its input only")
{
    CHECK(rc::check("two planners make the same decision", [] {
        const auto scene = *anyScene();
        const auto first = decide(scene);
        const auto second = decide(scene);
        RC_ASSERT(logLine(first) == logLine(second));
        if (const auto *plan = std::get_if<PlacementPlan>(&first)) {
            RC_ASSERT(plan->moves == std::get<PlacementPlan>(second).moves);
        }
    }));
}

TEST_CASE("the plan checker detects seeded faults")
{
    std::size_t wrongLimit = 0;
    std::size_t dropsFirst = 0;
    std::size_t oneSwitch = 0;
    std::size_t reversed = 0;
    CHECK(rc::check("faulty plans", [&] {
        auto scene = *anyScene();
        scene.limits.bytesPerRank = 0;
        const auto trueLimits = scene.limits;
        ++scene.limits.slotsPerRankAndLayer;
        const auto decision = decide(scene);
        const auto *plan = std::get_if<PlacementPlan>(&decision);
        if (plan == nullptr) {
            return;
        }
        auto drops = *plan;
        std::stable_partition(drops.moves.begin(), drops.moves.end(), [](const ReplicaMove &move) {
            return move.kind == MoveKind::Drop;
        });
        dropsFirst += check(scene, drops) == Violation::ExpertUnserved ? 1 : 0;
        auto whole = *plan;
        whole.switchEnds = {plan->moves.size()};
        oneSwitch += plan->switchEnds.size() > 1 && check(scene, whole) == Violation::StagingExceeded ? 1 : 0;
        // Reversing the plan makes steps longer.
        auto after = scene;
        PlacementPlan back = *plan;
        back.moves.clear();
        for (const auto &move : plan->moves) {
            RC_ASSERT(after.map.apply(move));
            const auto kind = move.kind == MoveKind::Add ? MoveKind::Drop : MoveKind::Add;
            back.moves.insert(back.moves.begin(), {kind, move.layer, move.expert, move.rank});
        }
        back.switchEnds.clear();
        for (std::size_t end = 1; end <= back.moves.size(); ++end) {
            back.switchEnds.push_back(end);
        }
        reversed += check(after, back) == Violation::PredictedWorse ? 1 : 0;
        scene.limits = trueLimits;
        const auto found = check(scene, *plan);
        wrongLimit += found == Violation::MemoryExceeded || found == Violation::StagingExceeded ? 1 : 0;
    }));
    CHECK(wrongLimit > 0);
    CHECK(dropsFirst > 0);
    CHECK(oneSwitch > 0);
    CHECK(reversed > 0);
}

TEST_CASE("a steady noisy load causes no move after the first ten minutes")
{
    for (const double burstSeconds : {0.001, 45.0}) {
        CAPTURE(burstSeconds);
        Group group(smallGroup);
        skewPopularity(group);
        group.noise = 0.15;
        group.burstSeconds = burstSeconds;
        CHECK(group.runAndRebalance(360, 600).empty());
        // Moves were made in the first ten minutes; otherwise the check above would be meaningless.
        CHECK_FALSE(group.rebalancer().map() == ExpertMap::contiguous(smallGroup));
    }
}

TEST_CASE("without noise limits the planner makes moves because of noise, which the check above detects")
{
    RebalancerOptions withoutNoiseLimits;
    withoutNoiseLimits.planner.requiredGain = 0;
    withoutNoiseLimits.planner.noiseMargin = 0;
    withoutNoiseLimits.planner.cooldown = Seconds(0);
    Group group(smallGroup, withoutNoiseLimits);
    skewPopularity(group);
    group.noise = 0.15;
    group.burstSeconds = 45;
    CHECK_FALSE(group.runAndRebalance(360, 600).empty());
}

TEST_CASE("a temporary stall causes no move, but a permanently slow rank gets less load")
{
    Group group(smallGroup);
    for (int interval = 0; interval < 30; ++interval) {
        group.run();
    }
    group.slowdown()[3] = 3;
    for (int interval = 0; interval < 3; ++interval) {
        group.run();
        const auto decision = group.decision();
        REQUIRE_FALSE(isPlan(decision));
        CHECK(std::get<KeepMapDecision>(decision).reason == KeepMapReason::PassingStall);
        CHECK(std::get<KeepMapDecision>(decision).rank == 3);
    }
    group.slowdown()[3] = 1;
    CHECK(group.runAndRebalance(30, 0).empty());
    group.slowdown()[3] = 1.5;
    CHECK_FALSE(group.runAndRebalance(30, 0).empty());
    CHECK(group.rebalancer().diagnosis().kind == SkewKind::SlowRank);
    const auto replicas = group.rebalancer().map().replicasPerRank(0);
    CHECK(replicas[3] < smallGroup.experts / smallGroup.ranks);
}

TEST_CASE("a classifier with a single window mistakes a stall for a slow rank, which the check above detects")
{
    RebalancerOptions singleWindow;
    singleWindow.classifier.windows = 1;
    singleWindow.classifier.minimumWindows = 1;
    Group group(smallGroup, singleWindow);
    for (int interval = 0; interval < 30; ++interval) {
        group.run();
    }
    group.slowdown()[3] = 3;
    CHECK_FALSE(group.runAndRebalance(3, 0).empty());
}

TEST_CASE("lost, repeated and delayed reports and a restarted rank do not change a decision")
{
    Group whole(smallGroup);
    Group broken(smallGroup);
    skewPopularity(whole);
    skewPopularity(broken);
    auto old = broken.reports()[2];
    for (std::int64_t interval = 0; interval < 40; ++interval) {
        whole.run();
        const std::vector<std::size_t> lost
            = interval % 4 == 1 ? std::vector<std::size_t>{1, 2, 5} : std::vector<std::size_t>{};
        if (interval == 20) {
            auto &restarted = broken.reports()[6];
            ++restarted.incarnation;
            restarted.sequence = 0;
            restarted.steps = 0;
            restarted.busyTime = Microseconds(0);
            std::fill(restarted.tokens.begin(), restarted.tokens.end(), 0);
        }
        broken.run(lost);
        if (interval % 5 == 0) {
            old.receivedAt = at(interval * 10);
            CHECK(broken.rebalancer().observe(old).value() == ReportOutcome::Stale);
            old = broken.reports()[2];
        }
        const auto expected = whole.decision();
        const auto actual = broken.decision();
        REQUIRE(isPlan(expected) == isPlan(actual));
        if (isPlan(expected)) {
            CHECK(std::get<PlacementPlan>(expected).moves == std::get<PlacementPlan>(actual).moves);
        } else {
            CHECK(std::get<KeepMapDecision>(expected).reason == std::get<KeepMapDecision>(actual).reason);
        }
    }
    CHECK(isPlan(whole.decision()));
}

TEST_CASE("counters that decrease within an incarnation do not give a rate")
{
    Group group(smallGroup);
    for (int interval = 0; interval < 10; ++interval) {
        group.run();
    }
    auto report = group.reports()[0];
    ++report.sequence;
    report.steps += 10;
    report.tokens[5] -= 1;
    CHECK(group.rebalancer().observe(report).value() == ReportOutcome::Restarted);
    group.rebalancer().advance(at(110));
    CHECK(group.rebalancer().estimate(at(110)).tokensPerStep[5] == doctest::Approx(100).epsilon(0.02));
}

namespace
{

/// Simulates a short burst on one expert. Returns the number of moves in the ten minutes after it that reverse a move
/// made because of it.
std::size_t movesReversedAfterBurst(Group &group)
{
    for (int interval = 0; interval < 60; ++interval) {
        group.run();
    }
    group.tokens()[0] = 2000;
    const auto made = group.runAndRebalance(6, 0);
    REQUIRE_FALSE(made.empty());
    group.tokens()[0] = 100;
    std::size_t undone = 0;
    for (auto move : group.runAndRebalance(54, 0)) {
        move.kind = move.kind == MoveKind::Add ? MoveKind::Drop : MoveKind::Add;
        undone += std::find(made.begin(), made.end(), move) != made.end() ? 1 : 0;
    }
    return undone;
}

} // namespace

TEST_CASE("a plan with less gain than predicted lowers the confidence and is not reversed within ten minutes")
{
    Group group(smallGroup);
    CHECK(movesReversedAfterBurst(group) == 0);
    CHECK(group.rebalancer().confidence() < 1);
}

TEST_CASE("without a cooldown moves are reversed after a short burst, which the check above detects")
{
    RebalancerOptions withoutCooldown;
    withoutCooldown.planner.cooldown = Seconds(0);
    Group group(smallGroup, withoutCooldown);
    CHECK(movesReversedAfterBurst(group) > 0);
}

TEST_CASE("invalid input changes nothing and gives the reason")
{
    Group group(smallGroup);
    auto report = group.reports()[0];
    report.rank = 8;
    CHECK(group.rebalancer().observe(report).error().code == PlacementErrorCode::UnknownRank);
    report.rank = 0;
    report.tokens.pop_back();
    CHECK(group.rebalancer().observe(report).error().code == PlacementErrorCode::WrongShape);
    group.rebalancer().configure(PlacementLimits{9, 0, expertBytes, 0}, {});
    CHECK(group.rebalancer().decide(at(0)).error().code == PlacementErrorCode::InvalidLimits);
    group.rebalancer().configure(PlacementLimits{9, 0, expertBytes, 1}, {-1, 1});
    CHECK(group.rebalancer().decide(at(0)).error().code == PlacementErrorCode::InvalidWeights);
    auto map = ExpertMap::contiguous(smallGroup);
    CHECK(map.apply({MoveKind::Drop, 0, 0, 0}).error().code == PlacementErrorCode::ExpertWithoutReplica);
    CHECK(map == ExpertMap::contiguous(smallGroup));
}

} // namespace Cardamomhill
