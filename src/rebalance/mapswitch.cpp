#include "rebalance/mapswitch.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

/// Weight of a new measurement in the mean step rate.
constexpr double RateWeight = 0.5;
/// A margin on the ranks' answer times is reduced by 1/N with each answer.
constexpr int MarginDivisor = 4;
/// Copies of one order that may be under way to a rank.
constexpr std::size_t MaxOrderCopies = 4;

double secondsOf(SteadyTime::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

MapSwitch::MapSwitch(std::size_t ranks, std::uint64_t epoch, OrderTokens &tokens, MapSwitchOptions options)
    : m_epoch(epoch)
    , m_tokens(tokens)
    , m_options(options)
    , m_ranks(ranks)
    , m_token(m_tokens.next())
{
}

SwitchPhase MapSwitch::phase() const
{
    return m_phase;
}

std::uint64_t MapSwitch::epoch() const
{
    return m_epoch;
}

void MapSwitch::begin(std::shared_ptr<const ExpertMap> map,
                      Microseconds copyTime,
                      std::size_t maxConcurrentMaps,
                      SteadyTime now)
{
    m_nextMap = std::move(map);
    m_version = m_tokens.next();
    m_copyTime = copyTime;
    m_maxConcurrentMaps = std::max<std::size_t>(maxConcurrentMaps, 1);
    m_nextReports = SteadyTime::max();
    m_extraSteps = 0;
    m_isRecovery = false;
    enter(SwitchPhase::Preparing, now);
}

std::vector<RankOrder> MapSwitch::takeOrders(SteadyTime now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_phaseSince = now;
    }
    std::vector<RankOrder> orders;
    std::size_t capacity = m_phase == SwitchPhase::Preparing ? m_maxConcurrentMaps : m_ranks.size();
    capacity -= std::min<std::size_t>(
        capacity, std::count_if(m_ranks.begin(), m_ranks.end(), [](const Rank &rank) { return rank.inFlight > 0; }));
    for (std::size_t rank = 0; rank < m_ranks.size() && orders.size() < capacity; ++rank) {
        auto &state = m_ranks[rank];
        const bool isDue = state.inFlight == 0 || mayResend(state);
        if (!needsOrder(rank) || state.isDone || !isDue || now < state.retryAt) {
            continue;
        }
        // Twice as long before each further copy, which adds to the load of a rank that is slow.
        state.retryAt = now + state.answerTime.resendAfter() * (1 << state.inFlight);
        ++state.inFlight;
        orders.push_back({rank, m_token, m_epoch, actionFor(rank), now, answerLimit(state)});
    }
    return orders;
}

Milliseconds MapSwitch::answerLimit(const Rank &rank) const
{
    // An order that is not sent again in the meantime must not wait long for an answer that is lost.
    return m_phase == SwitchPhase::Preparing ? std::chrono::ceil<Milliseconds>(rank.answerTime.resendAfter())
                                             : m_options.answerTimeout;
}

bool MapSwitch::mayResend(const Rank &rank) const
{
    // A map takes long to send.
    return m_phase != SwitchPhase::Preparing && rank.inFlight < MaxOrderCopies;
}

bool MapSwitch::needsOrder(std::size_t rank) const
{
    switch (m_phase) {
    case SwitchPhase::Fencing:
    case SwitchPhase::Preparing:
    case SwitchPhase::Arming:
    case SwitchPhase::Disarming:
        return true;
    case SwitchPhase::Holding:
    case SwitchPhase::Releasing:
        return rank == m_holdingRank;
    case SwitchPhase::Abandoning:
        // Steps that an earlier coordinator held at other ranks are released as well.
        return rank == m_holdingRank || m_ranks[rank].state.heldStep.has_value();
    case SwitchPhase::Inspecting:
    case SwitchPhase::Idle:
    case SwitchPhase::EpochEnded:
    case SwitchPhase::Fenced:
    case SwitchPhase::Stuck:
        return false;
    }
    return false;
}

OrderAction MapSwitch::actionFor(std::size_t rank) const
{
    switch (m_phase) {
    case SwitchPhase::Preparing:
        return PrepareMap{m_version, m_nextMap};
    case SwitchPhase::Holding:
        return HoldStep{m_step};
    case SwitchPhase::Arming:
        return ArmMap{m_version, m_step};
    case SwitchPhase::Releasing:
        return ReleaseStep{m_step};
    case SwitchPhase::Abandoning:
        return ReleaseStep{rank == m_holdingRank ? m_step : *m_ranks[rank].state.heldStep};
    case SwitchPhase::Disarming: {
        const auto &armed = m_ranks[rank].state.armed;
        if (m_isRecovery) {
            return DisarmMap{armed ? armed->version : m_token};
        }
        return DisarmMap{m_version};
    }
    default:
        // No rank has this version, so the order only makes the token known.
        return DisarmMap{m_token};
    }
}

void MapSwitch::onAnswer(const RankOrder &order, OrderAnswer answer, SteadyTime now)
{
    auto &state = m_ranks[order.rank];
    if (answer != OrderAnswer::NoAnswer && !std::holds_alternative<PrepareMap>(order.action)) {
        state.answerTime.record(std::chrono::duration_cast<Microseconds>(now - order.sentAt));
        m_answerTimeMargin -= m_answerTimeMargin / MarginDivisor;
    }
    if (order.token != m_token || state.isDone) {
        return;
    }
    state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    switch (answer) {
    case OrderAnswer::NoAnswer:
        state.retryAt = std::min(state.retryAt, now + m_options.retryInterval);
        return;
    case OrderAnswer::Fenced:
        enter(SwitchPhase::Fenced, now);
        return;
    case OrderAnswer::Accepted:
        onAccepted(order.rank, now);
        return;
    case OrderAnswer::Conflict:
        onConflict(order.rank, now);
        return;
    }
}

void MapSwitch::onAccepted(std::size_t rank, SteadyTime now)
{
    m_ranks[rank].isDone = true;
    if (allDone()) {
        advance(now);
    }
}

void MapSwitch::onConflict(std::size_t rank, SteadyTime now)
{
    switch (m_phase) {
    case SwitchPhase::Preparing:
        // The rank may still be armed for the previous switch, whose step has not begun yet.
        m_ranks[rank].retryAt = now + m_options.conflictRetryInterval;
        return;
    case SwitchPhase::Holding:
        if (m_isRecovery) {
            // The step has begun, so the last reports are outdated.
            startInspection(now);
            return;
        }
        m_extraSteps = 2 * m_extraSteps + 2 * m_options.stepMargin;
        chooseStep(now);
        return;
    case SwitchPhase::Arming:
        // The step is held, so it has not begun. The rank refused because its copies are not complete yet.
        m_ranks[rank].retryAt = now + m_options.armRetryInterval;
        return;
    default:
        // Nothing is left to disarm, release or fence at this rank.
        onAccepted(rank, now);
        return;
    }
}

void MapSwitch::advance(SteadyTime now)
{
    switch (m_phase) {
    case SwitchPhase::Fencing:
        // One answer that was late by seconds outweighs several that are quick.
        if (m_measurementsLeft > 0 && !canHold()) {
            --m_measurementsLeft;
            enter(SwitchPhase::Fencing, now);
        } else {
            startInspection(now);
        }
        return;
    case SwitchPhase::Preparing:
        m_nextReports = now + m_copyTime;
        return;
    case SwitchPhase::Holding:
        if (m_isRecovery) {
            enter(SwitchPhase::Disarming, now);
        } else {
            enter(hasTimeToArm(now) ? SwitchPhase::Arming : SwitchPhase::Abandoning, now);
        }
        return;
    case SwitchPhase::Arming:
        enter(SwitchPhase::Releasing, now);
        return;
    case SwitchPhase::Releasing:
        m_activeMap = m_nextMap;
        ++m_switchCount;
        enter(SwitchPhase::Idle, now);
        return;
    case SwitchPhase::Disarming:
        enter(SwitchPhase::Abandoning, now);
        return;
    case SwitchPhase::Abandoning:
        ++m_abandonedCount;
        if (m_isRecovery) {
            // Another rank may hold, or be armed for, another step.
            startInspection(now);
        } else {
            enter(SwitchPhase::Idle, now);
        }
        return;
    default:
        return;
    }
}

void MapSwitch::enter(SwitchPhase phase, SteadyTime now)
{
    m_phase = phase;
    m_phaseSince = now;
    // Each phase has a higher token, so a rank refuses late orders of earlier phases once it has received a new one.
    resetOrders(now);
}

void MapSwitch::startInspection(SteadyTime now)
{
    enter(SwitchPhase::Inspecting, now);
    m_nextReports = now + m_options.reportDelay;
}

void MapSwitch::resetOrders(SteadyTime now)
{
    m_token = m_tokens.next();
    for (auto &rank : m_ranks) {
        rank.isDone = false;
        rank.inFlight = 0;
        rank.retryAt = now;
    }
}

bool MapSwitch::allDone() const
{
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        if (needsOrder(rank) && !m_ranks[rank].isDone) {
            return false;
        }
    }
    return true;
}

ReportNeed MapSwitch::reportNeed(SteadyTime now) const
{
    if (now < m_nextReports) {
        return ReportNeed::None;
    }
    switch (m_phase) {
    case SwitchPhase::Inspecting:
        return ReportNeed::AllRanks;
    case SwitchPhase::Preparing:
        return ReportNeed::AnyRank;
    default:
        return ReportNeed::None;
    }
}

void MapSwitch::onReports(const std::vector<std::optional<RankState>> &states, SteadyTime now)
{
    m_nextReports = now + m_options.reportInterval;
    bool isComplete = states.size() == m_ranks.size();
    for (std::size_t rank = 0; rank < std::min(states.size(), m_ranks.size()); ++rank) {
        m_ranks[rank].isKnown = states[rank].has_value();
        isComplete = isComplete && states[rank].has_value();
        if (!states[rank]) {
            continue;
        }
        m_ranks[rank].state = *states[rank];
        if (states[rank]->epoch != m_epoch) {
            enter(SwitchPhase::EpochEnded, now);
            return;
        }
    }
    measureStepRate(now);
    if (isComplete && m_phase == SwitchPhase::Inspecting) {
        inspect(now);
    }
}

void MapSwitch::onReport(std::size_t rank, const RankState &state, SteadyTime now)
{
    m_ranks[rank].state = state;
    m_ranks[rank].isKnown = true;
    if (state.epoch != m_epoch) {
        enter(SwitchPhase::EpochEnded, now);
        return;
    }
    measureStepRate(now);
    if (reportNeed(now) == ReportNeed::AnyRank) {
        onPrepared(now);
    }
}

bool MapSwitch::hasTakenEffect() const
{
    return !m_activeMap || std::max(m_lastStep, m_begunStep) >= m_step;
}

void MapSwitch::recordBegunStep(std::uint64_t step)
{
    // Kept apart from the steps of reports, from whose age the step rate follows.
    m_begunStep = std::max(m_begunStep, step);
}

void MapSwitch::measureStepRate(SteadyTime now)
{
    std::uint64_t newest = 0;
    for (const auto &rank : m_ranks) {
        newest = std::max(newest, rank.isKnown ? rank.state.step : 0);
    }
    if (newest > m_lastStep) {
        m_lastStep = newest;
        m_lastStepAt = now;
    }
    if (now - m_rateFrom < m_options.rateWindow) {
        return;
    }
    if (m_rateFromStep > 0 && m_lastStep > m_rateFromStep) {
        const double rate = static_cast<double>(m_lastStep - m_rateFromStep) / secondsOf(now - m_rateFrom);
        m_stepsPerSecond = m_stepsPerSecond == 0 ? rate : m_stepsPerSecond + RateWeight * (rate - m_stepsPerSecond);
    }
    m_rateFrom = now;
    m_rateFromStep = m_lastStep;
}

bool MapSwitch::isReleasedSwitch() const
{
    const auto &first = m_ranks.front().state;
    return first.armed && std::all_of(m_ranks.begin(), m_ranks.end(), [&first](const Rank &rank) {
               return rank.state.armed == first.armed && !rank.state.heldStep;
           });
}

void MapSwitch::inspect(SteadyTime now)
{
    if (isReleasedSwitch()) {
        // An earlier term has completed it, and the group has not reached its step. The ranks are read again.
        return;
    }
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        const auto &state = m_ranks[rank].state;
        if (!state.heldStep && !state.armed) {
            continue;
        }
        m_holdingRank = rank;
        m_step = state.heldStep ? *state.heldStep : state.armed->step;
        m_isRecovery = true;
        enter(SwitchPhase::Holding, now);
        return;
    }
    m_isRecovery = false;
    m_holdingRank = 0;
    enter(SwitchPhase::Idle, now);
}

bool MapSwitch::isStepRateUnknown() const
{
    // A group without calls makes no steps.
    return m_stepsPerSecond == 0 && m_rateFromStep > 0 && m_lastStep > m_rateFromStep;
}

void MapSwitch::onPrepared(SteadyTime now)
{
    if (isStepRateUnknown()) {
        // A step chosen without it would begin before the ranks are armed.
        m_nextReports = now + m_options.reportInterval;
        return;
    }
    // Reports lag behind, so completed copies are not awaited: a rank that is not ready refuses to be armed.
    enter(SwitchPhase::Holding, now);
    chooseStep(now);
}

bool MapSwitch::canHold() const
{
    return stepLead() <= m_options.maxStepLead;
}

void MapSwitch::measureAnswers(SteadyTime now)
{
    m_measurementsLeft = m_options.maxMeasurements - 1;
    enter(SwitchPhase::Fencing, now);
}

Microseconds MapSwitch::reliableAnswerTime() const
{
    Microseconds longest{0};
    for (const auto &rank : m_ranks) {
        longest = std::max(longest, rank.answerTime.usual());
    }
    return longest + m_answerTimeMargin;
}

Microseconds MapSwitch::stepLead() const
{
    // The orders to hold and to arm.
    constexpr int Orders = 2;
    return std::max<Microseconds>(m_options.minStepLead, Orders * reliableAnswerTime());
}

bool MapSwitch::hasTimeToArm(SteadyTime now) const
{
    // The orders to arm, and to disarm if one of them is not confirmed.
    constexpr int Orders = 2;
    return now + Orders * reliableAnswerTime() <= m_stepAt + m_options.maxHold;
}

bool MapSwitch::hasHeldTooLong(SteadyTime now) const
{
    return now > m_stepAt + m_options.maxHold - reliableAnswerTime();
}

void MapSwitch::chooseStep(SteadyTime now)
{
    // A new token makes ranks refuse a late order to hold the previously chosen step, which would stop the group.
    resetOrders(now);
    m_stepAt = now + stepLead();
    const auto ahead = secondsOf(m_stepAt - m_lastStepAt);
    const auto steps = static_cast<std::uint64_t>(std::ceil(ahead * m_stepsPerSecond));
    m_step = m_lastStep + steps + m_options.stepMargin + m_extraSteps;
}

void MapSwitch::tick(SteadyTime now)
{
    const auto age = now - m_phaseSince;
    switch (m_phase) {
    case SwitchPhase::Preparing:
        if (age > m_options.prepareTimeout) {
            // A rank may still complete its copies; they have no effect unless it is armed.
            ++m_abandonedCount;
            enter(SwitchPhase::Idle, now);
        }
        return;
    case SwitchPhase::Holding:
        if (!m_isRecovery && hasHeldTooLong(now)) {
            // No rank is armed yet, so the step can be released at once.
            enter(SwitchPhase::Abandoning, now);
            return;
        }
        [[fallthrough]];
    case SwitchPhase::Fencing:
    case SwitchPhase::Inspecting:
    case SwitchPhase::Releasing:
    case SwitchPhase::Disarming:
    case SwitchPhase::Abandoning:
        if (age > m_options.stuckTimeout && m_hasStarted) {
            enter(SwitchPhase::Stuck, now);
        }
        return;
    case SwitchPhase::Arming:
        if (hasHeldTooLong(now)) {
            enter(SwitchPhase::Disarming, now);
        }
        return;
    default:
        return;
    }
}

const std::shared_ptr<const ExpertMap> &MapSwitch::activeMap() const
{
    return m_activeMap;
}

std::uint64_t MapSwitch::version() const
{
    return m_version;
}

std::uint64_t MapSwitch::step() const
{
    return m_step;
}

std::size_t MapSwitch::switchCount() const
{
    return m_switchCount;
}

std::size_t MapSwitch::abandonedCount() const
{
    return m_abandonedCount;
}

double MapSwitch::stepsPerSecond() const
{
    return m_stepsPerSecond;
}

} // namespace Cardamomhill
