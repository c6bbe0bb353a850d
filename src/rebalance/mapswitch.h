#pragma once

#include "core/clocktypes.h"
#include "placement/expertmap.h"
#include "rebalance/answertime.h"
#include "rebalance/orderanswer.h"
#include "rebalance/ordertokens.h"
#include "rebalance/rankorder.h"
#include "rebalance/rankstate.h"
#include "rebalance/reportneed.h"
#include "rebalance/switchphase.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// Constants of MapSwitch.
struct MapSwitchOptions {
    /// How long an answer to an order is awaited. Copies of the order are sent before.
    Milliseconds answerTimeout{1000};
    /// Delay before an order that got no answer is retried.
    Milliseconds retryInterval{20};
    /// Delay before a rank that refused to prepare a map is asked again.
    Milliseconds conflictRetryInterval{150};
    /// Age of reports: the effect of an order shows in them only after this time.
    Milliseconds reportDelay{250};
    /// Time between two attempts to read all ranks.
    Milliseconds reportInterval{150};
    /// Shortest time from now to the step that is chosen for the switch. It is longer if the ranks answer slowly. If
    /// the step has already begun, the rank refuses to hold it, and a later one is tried.
    Milliseconds minStepLead{120};
    /// Longest such time. Slower groups keep their map.
    Milliseconds maxStepLead{2500};
    /// Orders that each rank answers at most when its answers are measured anew. With fewer, a group whose one rank has
    /// hung for a second kept an uneven map for seconds after it.
    int maxMeasurements = 6;
    /// Steps that are added to those expected within `stepLead`.
    std::uint64_t stepMargin = 1;
    /// Minimum time over which the step rate is measured. Over less, reports of different ranks, which differ in age,
    /// gave rates of 140 steps per second.
    Milliseconds rateWindow{500};
    /// Delay before a rank whose copies are not complete is armed again.
    Milliseconds armRetryInterval{25};
    /// Longest time for which a held step may stop the group. What is not confirmed by then is cancelled.
    Milliseconds maxHold{200};
    /// Time limit for copying.
    Milliseconds prepareTimeout{6000};
    /// Time limit for each other phase that needs answers or reports. After it another coordinator, which may reach all
    /// ranks, has to take over.
    Milliseconds stuckTimeout{3000};
};

/// Switches the ranks of one group from one expert map to another such that no step begins with two maps.
///
/// The held step is far enough ahead that slow ranks have answered all orders before the group reaches it.
///
/// The sequence is: all ranks copy the experts they need; a coming step is held at one rank, which holds the whole
/// group; all ranks are armed for that step; the step is released once all ranks have confirmed. If a rank refuses or
/// does not confirm in time, all ranks are disarmed with a higher fencing token, so that late orders have no effect,
/// and only then is the step released. Ranks are armed or disarmed only while this coordinator holds the step, so a
/// coordinator that takes over holds the step itself first.
///
/// Does no I/O: takeOrders() returns the orders to send, and the caller passes in answers and reports.
class MapSwitch
{
public:
    /// @param tokens of the coordinator's term; must outlive this object
    MapSwitch(std::size_t ranks, std::uint64_t epoch, OrderTokens &tokens, MapSwitchOptions options = {});

    SwitchPhase phase() const;
    std::uint64_t epoch() const;

    /// Begins a switch; only while idle.
    /// @param copyTime estimated time that the ranks need for their copies
    /// @param maxConcurrentMaps number of ranks that may be sent the map concurrently, at least 1
    void
    begin(std::shared_ptr<const ExpertMap> map, Microseconds copyTime, std::size_t maxConcurrentMaps, SteadyTime now);

    /// Returns the orders to send now. Each must be followed by onAnswer().
    std::vector<RankOrder> takeOrders(SteadyTime now);
    void onAnswer(const RankOrder &order, OrderAnswer answer, SteadyTime now);

    /// Ranks whose reports are needed now.
    ReportNeed reportNeed(SteadyTime now) const;
    /// Processes the reports of all ranks, without a value for each rank that could not be read.
    void onReports(const std::vector<std::optional<RankState>> &states, SteadyTime now);

    /// Processes the report of one rank, which shows the step of the whole group, and updates the step rate.
    void onReport(std::size_t rank, const RankState &state, SteadyTime now);

    /// Whether the ranks answer quickly enough for a switch that does not stop the group.
    bool canHold() const;

    /// Has the ranks answer orders that change nothing, to measure anew how quickly they do, until canHold() or a few
    /// orders have been answered; only while idle.
    void measureAnswers(SteadyTime now);

    /// Whether the step of the last switch has begun, according to reports and recordBegunStep().
    bool hasTakenEffect() const;
    /// Records a step that has begun, as read together with counters, which lag less than reports.
    void recordBegunStep(std::uint64_t step);

    /// Leaves a phase that exceeds its time limit.
    void tick(SteadyTime now);

    /// The map of the last switch that was completed; null before the first one.
    const std::shared_ptr<const ExpertMap> &activeMap() const;
    /// Map version and step of the last switch that was begun.
    std::uint64_t version() const;
    std::uint64_t step() const;
    std::size_t switchCount() const;
    std::size_t abandonedCount() const;

    /// Step rate measured from the reports; 0 if not known.
    double stepsPerSecond() const;

private:
    struct Rank {
        bool isDone = false;
        /// Copies of the current order that may still be answered.
        std::size_t inFlight = 0;
        SteadyTime retryAt{};
        AnswerTime answerTime;
        RankState state;
        bool isKnown = false;
    };

    void enter(SwitchPhase phase, SteadyTime now);
    /// Has all ranks read, late enough for the reports to show the effect of the last orders.
    void startInspection(SteadyTime now);
    /// Generates a new token, and clears the progress of the orders with the old one.
    void resetOrders(SteadyTime now);
    bool allDone() const;
    /// Whether an order of the current phase goes to this rank.
    bool needsOrder(std::size_t rank) const;
    OrderAction actionFor(std::size_t rank) const;
    /// Whether another copy of the current order is due, since the answer is late.
    bool mayResend(const Rank &rank) const;
    Milliseconds answerLimit(const Rank &rank) const;
    /// Time within which every rank has answered an order.
    Microseconds reliableAnswerTime() const;
    /// Time from the choice of a step to the step that leaves enough for the orders before it.
    Microseconds stepLead() const;
    /// Whether a held step leaves enough time for arming the ranks.
    bool hasTimeToArm(SteadyTime now) const;
    /// Whether the group has been stopped for as long as it may be.
    bool hasHeldTooLong(SteadyTime now) const;
    void onAccepted(std::size_t rank, SteadyTime now);
    void onConflict(std::size_t rank, SteadyTime now);
    void advance(SteadyTime now);
    void chooseStep(SteadyTime now);
    /// Whether all ranks are armed for the same step and none holds one.
    bool isReleasedSwitch() const;
    void inspect(SteadyTime now);
    /// Whether the group makes steps, seen for too short a time to know how quickly.
    bool isStepRateUnknown() const;
    void onPrepared(SteadyTime now);
    void measureStepRate(SteadyTime now);

    /// The rank at which the step is held.
    std::size_t m_holdingRank = 0;
    std::uint64_t m_epoch;
    OrderTokens &m_tokens;
    MapSwitchOptions m_options;
    std::vector<Rank> m_ranks;
    SwitchPhase m_phase = SwitchPhase::Fencing;
    SteadyTime m_phaseSince{};
    bool m_hasStarted = false;
    std::uint64_t m_token;
    std::uint64_t m_version = 0;
    std::uint64_t m_step = 0;
    /// When the group is expected to reach that step.
    SteadyTime m_stepAt{};
    /// Steps added to the chosen one, since earlier choices had already begun.
    std::uint64_t m_extraSteps = 0;
    /// Whether an unfinished switch of an earlier term is being cancelled.
    bool m_isRecovery = false;
    std::shared_ptr<const ExpertMap> m_nextMap;
    std::shared_ptr<const ExpertMap> m_activeMap;
    SteadyTime m_nextReports{};
    Microseconds m_copyTime{0};
    std::size_t m_maxConcurrentMaps = 1;
    /// Further orders for which measureAnswers() may wait.
    int m_measurementsLeft = 0;
    /// Added to the usual answer times, since few answers say little.
    Microseconds m_answerTimeMargin = Milliseconds(300);
    std::uint64_t m_lastStep = 0;
    std::uint64_t m_begunStep = 0;
    SteadyTime m_lastStepAt{};
    SteadyTime m_rateFrom{};
    std::uint64_t m_rateFromStep = 0;
    double m_stepsPerSecond = 0;
    std::size_t m_switchCount = 0;
    std::size_t m_abandonedCount = 0;
};

} // namespace Cardamomhill
