#include "group/rankparticipant.h"

#include <utility>

namespace Cardamomhill
{

namespace
{

/// Messages that wait while an order is open. Coordinators repeat what is dropped beyond it.
constexpr std::size_t maximumWaiting = 32;

/// A restarted agent skips this many fencing numbers. Its predecessor had at most one order open, numbered one above
/// the reported number, so the predecessor's late order is below the claim.
constexpr std::uint64_t fenceStepOfClaim = 2;

} // namespace

RankParticipant::RankParticipant(GroupId group, std::uint32_t rank, ParticipantOptions options, Random &random)
    : m_group(std::move(group))
    , m_rank(rank)
    , m_options(options)
    , m_random(&random)
    , m_orderRetry(options.orderRetry, options.orderRetryLimit)
    , m_takeoverDelay(options.takeoverAfter)
{
}

void RankParticipant::onEngineState(const EngineState &state, SteadyTime now)
{
    if (m_engine && state.incarnation == m_engine->incarnation) {
        // Reports can overtake each other; steps only grow within an incarnation.
        if (state.nextStep >= m_engine->nextStep) {
            m_engine = state;
            repair(now);
        }
    } else if (!m_engine || state.incarnation > m_engine->incarnation) {
        const bool watchedEarlierIncarnation = m_engine.has_value();
        m_engine = state;
        join(state, watchedEarlierIncarnation, now);
    }
}

void RankParticipant::join(const EngineState &state, bool watchedEarlierIncarnation, SteadyTime now)
{
    m_order.reset();
    m_waiting.clear();
    m_staged.clear();
    m_stageRequests.clear();
    m_refused.reset();
    m_sessionBallot.reset();
    m_session = (*m_random)();
    m_fence = state.fence + fenceStepOfClaim - 1;
    m_record = EngineRecord();
    if (state.recordStatus == RecordStatus::Unknown && !watchedEarlierIncarnation) {
        goOut();
        return;
    }
    m_status = ParticipantStatus::Claiming;
    sendOrder(EngineOrderKind::Claim, 0, std::nullopt, m_record, std::nullopt, now);
}

void RankParticipant::adopt(const EngineState &state, SteadyTime now)
{
    m_order.reset();
    m_record.map = state.finalMap();
    if (state.recordStatus == RecordStatus::Written) {
        if (!explains(state.record, state)) {
            goOut();
            return;
        }
        m_record = state.record;
    } else if (!state.heldSteps.empty()) {
        // An earlier agent gave this hold; the engine has lost why.
        goOut();
        return;
    }
    m_status = ParticipantStatus::Member;
    delayTakeover(now);
}

/// A record that a late order has put back does not fit the held steps or the map of the engine.
bool RankParticipant::explains(const EngineRecord &record, const EngineState &state) const
{
    if (record.map != state.finalMap()) {
        return false;
    }
    if (!record.accepted) {
        return state.heldSteps.empty();
    }
    return state.heldSteps == std::vector<std::uint64_t>{record.accepted->step};
}

void RankParticipant::goOut()
{
    m_status = ParticipantStatus::Out;
    m_order.reset();
    m_waiting.clear();
    m_output.orders.clear();
    m_output.messages.clear();
}

/// Undoes what a late order of an earlier agent changed in an engine that ignores fencing numbers.
void RankParticipant::repair(SteadyTime now)
{
    if (m_status != ParticipantStatus::Member || m_order) {
        return;
    }
    EngineRecord record = m_record;
    ++record.sequence;
    const bool holding = m_record.accepted.has_value();
    const std::uint64_t own = holding ? m_record.accepted->step : 0;
    for (const std::uint64_t step : m_engine->heldSteps) {
        if (!holding || step != own) {
            record.highestHeldStep = std::max(record.highestHeldStep, step);
            sendOrder(EngineOrderKind::Release, step, std::nullopt, record, std::nullopt, now);
            return;
        }
    }
    if (holding && !m_engine->holds(own)) {
        sendOrder(EngineOrderKind::Hold, own, std::nullopt, record, std::nullopt, now);
    } else if (m_engine->recordStatus != RecordStatus::Unknown && m_engine->record != m_record) {
        sendOrder(EngineOrderKind::Record, 0, std::nullopt, record, std::nullopt, now);
    }
}

void RankParticipant::sendOrder(EngineOrderKind kind,
                                std::uint64_t step,
                                std::optional<ExpertMapId> map,
                                const EngineRecord &record,
                                std::optional<GroupMessage> answer,
                                SteadyTime now)
{
    EngineOrder order{m_engine->incarnation, ++m_fence, kind, step, map, record};
    m_output.orders.push_back(order);
    m_order = PendingOrder{order, std::move(answer)};
    m_orderRetry.restart(now);
}

void RankParticipant::onEngineReply(const EngineReply &reply, SteadyTime now)
{
    if (!m_engine || reply.state.incarnation != m_engine->incarnation) {
        onEngineState(reply.state, now);
        return;
    }
    if (!m_order || reply.fence != m_order->order.fence) {
        return;
    }
    if (reply.state.nextStep >= m_engine->nextStep) {
        m_engine = reply.state;
    }
    finishOrder(reply, now);
    repair(now);
    handleWaiting(now);
}

void RankParticipant::finishOrder(const EngineReply &reply, SteadyTime now)
{
    const EngineOrder order = m_order->order;
    if (order.kind == EngineOrderKind::Claim && reply.result == EngineOrderResult::Applied) {
        adopt(reply.state, now);
        return;
    }
    // The first copy of a repeated order may have been applied although its reply was lost.
    const bool alreadyApplied = reply.state.recordStatus == RecordStatus::Written && reply.state.record == order.record;
    if (reply.result == EngineOrderResult::Applied || alreadyApplied) {
        applied(now);
    } else if (reply.result == EngineOrderResult::StepStarted && order.record.accepted != m_record.accepted) {
        const auto request = std::move(m_order->answer);
        m_order.reset();
        if (request) {
            refuse(*request, order.record.accepted->ballot, RefusalReason::TooLate);
        }
    } else if (reply.result == EngineOrderResult::StepNotHeld && reply.state.finalMap() == order.record.map) {
        // A late copy of the same release came first; only the record is missing.
        sendOrder(EngineOrderKind::Record, 0, std::nullopt, order.record, std::move(m_order->answer), now);
    } else if (!adoptSwitchMadeByEngine(reply.state, now)) {
        // Another agent gives orders, or a held step was started: this rank can no longer vouch for its state.
        goOut();
    }
}

/// A late release of an earlier agent has told the engine the outcome: only a commit gives the engine the map.
bool RankParticipant::adoptSwitchMadeByEngine(const EngineState &state, SteadyTime now)
{
    if (!m_record.accepted || state.finalMap() != m_record.accepted->map) {
        return false;
    }
    EngineRecord record = m_record;
    ++record.sequence;
    record.lastResolution = Resolution{*m_record.accepted, SwitchOutcome::Commit};
    record.map = m_record.accepted->map;
    record.accepted.reset();
    sendOrder(EngineOrderKind::Record, 0, std::nullopt, record, std::nullopt, now);
    return true;
}

void RankParticipant::applied(SteadyTime now)
{
    const bool newlyAccepted = m_order->order.record.accepted && !m_record.accepted;
    m_record = m_order->order.record;
    auto answer = std::move(m_order->answer);
    m_order.reset();
    if (auto *promised = answer ? std::get_if<Promised>(&answer->body) : nullptr) {
        // The engine's reply tells the step more exactly than its last report.
        promised->earliestStep = std::max(promised->earliestStep, m_engine->nextStep);
    }
    if (newlyAccepted) {
        m_takeoverDelay = m_options.takeoverAfter;
        delayTakeover(now);
    }
    if (answer) {
        m_output.messages.push_back(*answer);
    }
}

void RankParticipant::onMessage(const GroupMessage &message, SteadyTime now)
{
    const bool mine = message.group == m_group && message.rank == m_rank && m_engine
        && message.incarnation == m_engine->incarnation;
    if (!mine || m_status != ParticipantStatus::Member || m_waiting.size() >= maximumWaiting) {
        ++m_dropped;
    } else if (m_order) {
        m_waiting.push_back(message);
    } else {
        handle(message, now);
    }
}

void RankParticipant::handleWaiting(SteadyTime now)
{
    while (m_status == ParticipantStatus::Member && !m_order && !m_waiting.empty()) {
        const GroupMessage message = std::move(m_waiting.front());
        m_waiting.pop_front();
        handle(message, now);
    }
}

void RankParticipant::handle(const GroupMessage &message, SteadyTime now)
{
    std::visit([&](const auto &body) { handleBody(message, body, now); }, message.body);
}

template<class Answer>
void RankParticipant::handleBody(const GroupMessage &, const Answer &, SteadyTime)
{
    // Answers are for coordinators.
    ++m_dropped;
}

void RankParticipant::handleBody(const GroupMessage &message, const StageRequest &request, SteadyTime)
{
    if (m_staged.contains(request.map) || m_record.map == request.map) {
        m_output.messages.push_back(answerTo(message, Staged{request.map}));
    } else {
        m_stageRequests.insert_or_assign(message.coordinatorRank, message);
        m_output.stage.push_back(request.map);
    }
}

void RankParticipant::handleBody(const GroupMessage &message, const PromiseRequest &request, SteadyTime now)
{
    if (request.ballot < m_record.promised) {
        refuse(message, request.ballot, RefusalReason::Outranked);
        return;
    }
    const std::uint64_t earliest = std::max(m_engine->nextStep, m_record.highestHeldStep + 1);
    GroupMessage answer = answerTo(
        message,
        Promised{request.ballot, m_session, earliest, m_record.map, m_record.accepted, m_record.lastResolution});
    delayTakeover(now);
    if (request.ballot == m_sessionBallot) {
        m_output.messages.push_back(std::move(answer));
        return;
    }
    m_sessionBallot = request.ballot;
    m_refused.reset();
    EngineRecord record = m_record;
    ++record.sequence;
    record.promised = request.ballot;
    sendOrder(EngineOrderKind::Record, 0, std::nullopt, record, std::move(answer), now);
}

std::optional<RefusalReason> RankParticipant::reasonToRefuse(const PrepareRequest &request) const
{
    const Proposal &proposal = request.proposal;
    if (proposal.ballot < m_record.promised) {
        return RefusalReason::Outranked;
    }
    if (m_record.lastResolution && proposal.ballot <= m_record.lastResolution->proposal.ballot) {
        return RefusalReason::AlreadyResolved;
    }
    if (proposal.ballot != m_sessionBallot || request.session != m_session) {
        return RefusalReason::NotPromised;
    }
    if (m_record.accepted) {
        return RefusalReason::Unresolved;
    }
    if (m_refused && m_refused->ballot == proposal.ballot) {
        return m_refused->reason;
    }
    if (m_engine->pendingSwitch && m_engine->pendingSwitch->step >= m_engine->nextStep) {
        return RefusalReason::SwitchPending;
    }
    if (proposal.map.version <= m_record.map.version) {
        return RefusalReason::OldMap;
    }
    if (!m_staged.contains(proposal.map)) {
        return RefusalReason::NotStaged;
    }
    if (proposal.step < m_engine->nextStep || proposal.step <= m_record.highestHeldStep) {
        return RefusalReason::TooLate;
    }
    return std::nullopt;
}

void RankParticipant::handleBody(const GroupMessage &message, const PrepareRequest &request, SteadyTime now)
{
    const Proposal &proposal = request.proposal;
    if (m_record.accepted == proposal && proposal.ballot >= m_record.promised) {
        m_output.messages.push_back(answerTo(message, Accepted{proposal.ballot}));
        return;
    }
    if (const auto reason = reasonToRefuse(request)) {
        refuse(message, proposal.ballot, *reason);
        return;
    }
    EngineRecord record = m_record;
    ++record.sequence;
    record.accepted = proposal;
    record.highestHeldStep = proposal.step;
    sendOrder(
        EngineOrderKind::Hold, proposal.step, std::nullopt, record, answerTo(message, Accepted{proposal.ballot}), now);
}

void RankParticipant::handleBody(const GroupMessage &message, const ResolveRequest &request, SteadyTime now)
{
    const Resolution &resolution = request.resolution;
    if (request.ballot < m_record.promised) {
        refuse(message, request.ballot, RefusalReason::Outranked);
    } else if (m_record.accepted == resolution.proposal) {
        resolveAccepted(message, request, now);
    } else if (m_record.lastResolution && resolution.proposal.ballot <= m_record.lastResolution->proposal.ballot) {
        m_output.messages.push_back(answerTo(message, Resolved{request.ballot, resolution.proposal.ballot}));
    } else if (resolution.outcome == SwitchOutcome::Abort && !m_record.accepted) {
        EngineRecord record = m_record;
        ++record.sequence;
        record.promised = request.ballot;
        record.lastResolution = resolution;
        sendOrder(EngineOrderKind::Record,
                  0,
                  std::nullopt,
                  record,
                  answerTo(message, Resolved{request.ballot, resolution.proposal.ballot}),
                  now);
    } else {
        // No correct coordinator commits what this rank has not accepted.
        ++m_dropped;
    }
}

void RankParticipant::resolveAccepted(const GroupMessage &message, const ResolveRequest &request, SteadyTime now)
{
    const Resolution &resolution = request.resolution;
    EngineRecord record = m_record;
    ++record.sequence;
    record.promised = request.ballot;
    record.accepted.reset();
    record.lastResolution = resolution;
    std::optional<ExpertMapId> map;
    if (resolution.outcome == SwitchOutcome::Commit) {
        map = resolution.proposal.map;
        record.map = *map;
        std::erase_if(m_staged, [&record](const ExpertMapId &staged) { return staged.version <= record.map.version; });
    }
    sendOrder(EngineOrderKind::Release,
              resolution.proposal.step,
              map,
              record,
              answerTo(message, Resolved{request.ballot, resolution.proposal.ballot}),
              now);
}

GroupMessage RankParticipant::answerTo(const GroupMessage &message, const GroupMessageBody &body) const
{
    return GroupMessage{m_group, m_engine->incarnation, m_rank, message.coordinatorRank, body};
}

void RankParticipant::refuse(const GroupMessage &message, const Ballot &ballot, RefusalReason reason)
{
    Refused refused{ballot, reason, m_record.promised};
    if (ballot == m_sessionBallot && reason != RefusalReason::Outranked) {
        m_refused = refused;
    }
    m_output.messages.push_back(answerTo(message, refused));
}

void RankParticipant::onStaged(std::uint64_t incarnation, const ExpertMapId &map)
{
    if (!m_engine || incarnation != m_engine->incarnation) {
        return;
    }
    m_staged.insert(map);
    std::erase_if(m_stageRequests, [this, &map](const auto &entry) {
        const GroupMessage &message = entry.second;
        const bool isAnswered = std::get<StageRequest>(message.body).map == map;
        if (isAnswered && m_status == ParticipantStatus::Member) {
            m_output.messages.push_back(answerTo(message, Staged{map}));
        }
        return isAnswered;
    });
}

void RankParticipant::delayTakeover(SteadyTime now)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, m_options.takeoverJitter.count());
    m_takeoverAt = now + m_takeoverDelay + Microseconds(jitter(*m_random));
}

void RankParticipant::onTick(SteadyTime now)
{
    if (m_order && m_orderRetry.isDue(now)) {
        m_output.orders.push_back(m_order->order);
        m_orderRetry.advance(now);
    }
    if (m_status == ParticipantStatus::Member && m_record.accepted && now >= m_takeoverAt) {
        m_output.takeoverDue = true;
        m_takeoverDelay = std::min(m_takeoverDelay * 2, m_options.takeoverLimit);
        delayTakeover(now);
    }
}

ParticipantOutput RankParticipant::takeOutput()
{
    return std::exchange(m_output, {});
}

ParticipantStatus RankParticipant::status() const
{
    return m_status;
}

std::uint64_t RankParticipant::incarnation() const
{
    return m_engine ? m_engine->incarnation : 0;
}

const EngineRecord &RankParticipant::record() const
{
    return m_record;
}

std::uint64_t RankParticipant::droppedMessages() const
{
    return m_dropped;
}

} // namespace Cardamomhill
