#include "group/rankparticipant.h"

#include <utility>

namespace Cardamomhill
{

namespace
{

/// Messages queued while an order is outstanding. More are dropped; coordinators send them again.
constexpr std::size_t maximumQueuedMessages = 32;

/// The claim of a restarted agent has a fencing token this much above the reported one. Its predecessor had at most one
/// order outstanding, with a token one above the reported one, so a delayed order of the predecessor is below the
/// claim.
constexpr std::uint64_t claimTokenIncrement = 2;

} // namespace

RankParticipant::RankParticipant(GroupId group, std::uint32_t rank, ParticipantOptions options, Random &random)
    : m_group(std::move(group))
    , m_rank(rank)
    , m_options(options)
    , m_random(&random)
    , m_orderTimer(options.initialOrderRetryDelay, options.maximumOrderRetryDelay)
    , m_takeoverDelay(options.initialTakeoverDelay)
{
}

void RankParticipant::onEngineState(const EngineState &state, SteadyTime now)
{
    if (m_engine && state.incarnation == m_engine->incarnation) {
        // Reports can arrive out of order; step numbers only increase within an incarnation.
        if (state.nextStep >= m_engine->nextStep) {
            m_engine = state;
            repairEngineState(now);
        }
    } else if (!m_engine || state.incarnation > m_engine->incarnation) {
        const bool observedEarlierIncarnation = m_engine.has_value();
        m_engine = state;
        joinIncarnation(state, observedEarlierIncarnation, now);
    }
}

void RankParticipant::joinIncarnation(const EngineState &state, bool observedEarlierIncarnation, SteadyTime now)
{
    m_pendingOrder.reset();
    m_queuedMessages.clear();
    m_staged.clear();
    m_stageRequests.clear();
    m_refused.reset();
    m_sessionBallot.reset();
    m_session = (*m_random)();
    m_fencingToken = state.fencingToken + claimTokenIncrement - 1;
    m_record = EngineRecord();
    if (state.recordStatus == RecordStatus::Unknown && !observedEarlierIncarnation) {
        excludeSelf();
        return;
    }
    m_status = ParticipantStatus::Claiming;
    sendOrder(EngineOrderKind::Claim, 0, std::nullopt, m_record, std::nullopt, now);
}

void RankParticipant::adoptEngineState(const EngineState &state, SteadyTime now)
{
    m_pendingOrder.reset();
    m_record.map = state.finalMap();
    if (state.recordStatus == RecordStatus::Written) {
        if (!isConsistent(state.record, state)) {
            excludeSelf();
            return;
        }
        m_record = state.record;
    } else if (!state.heldSteps.empty()) {
        // An earlier agent ordered this hold, and the engine has lost the record that explains it.
        excludeSelf();
        return;
    }
    m_status = ParticipantStatus::Member;
    scheduleTakeover(now);
}

/// An older record, written back by a delayed order, contradicts the held steps or the map of the engine.
bool RankParticipant::isConsistent(const EngineRecord &record, const EngineState &state) const
{
    if (record.map != state.finalMap()) {
        return false;
    }
    if (!record.accepted) {
        return state.heldSteps.empty();
    }
    return state.heldSteps == std::vector<std::uint64_t>{record.accepted->step};
}

void RankParticipant::excludeSelf()
{
    m_status = ParticipantStatus::Excluded;
    m_pendingOrder.reset();
    m_queuedMessages.clear();
    m_output.orders.clear();
    m_output.messages.clear();
}

/// Reverts the changes of a delayed order from an earlier agent, at an engine that ignores fencing tokens.
void RankParticipant::repairEngineState(SteadyTime now)
{
    if (m_status != ParticipantStatus::Member || m_pendingOrder) {
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
    EngineOrder order{m_engine->incarnation, ++m_fencingToken, kind, step, map, record};
    m_output.orders.push_back(order);
    m_pendingOrder = PendingOrder{order, std::move(answer)};
    m_orderTimer.restart(now);
}

void RankParticipant::onEngineReply(const EngineReply &reply, SteadyTime now)
{
    if (!m_engine || reply.state.incarnation != m_engine->incarnation) {
        onEngineState(reply.state, now);
        return;
    }
    if (!m_pendingOrder || reply.fencingToken != m_pendingOrder->order.fencingToken) {
        return;
    }
    if (reply.state.nextStep >= m_engine->nextStep) {
        m_engine = reply.state;
    }
    finishPendingOrder(reply, now);
    repairEngineState(now);
    handleQueuedMessages(now);
}

void RankParticipant::finishPendingOrder(const EngineReply &reply, SteadyTime now)
{
    const EngineOrder order = m_pendingOrder->order;
    if (order.kind == EngineOrderKind::Claim && reply.result == EngineOrderResult::Applied) {
        adoptEngineState(reply.state, now);
        return;
    }
    // An earlier transmission of the order may have been applied although its reply was lost.
    const bool alreadyApplied = reply.state.recordStatus == RecordStatus::Written && reply.state.record == order.record;
    if (reply.result == EngineOrderResult::Applied || alreadyApplied) {
        onOrderApplied(now);
    } else if (reply.result == EngineOrderResult::StepStarted && order.record.accepted != m_record.accepted) {
        const auto request = std::move(m_pendingOrder->answer);
        m_pendingOrder.reset();
        if (request) {
            refuse(*request, order.record.accepted->ballot, RefusalReason::TooLate);
        }
    } else if (reply.result == EngineOrderResult::StepNotHeld && reply.state.finalMap() == order.record.map) {
        // An earlier copy of the same release has been applied; only the record is missing.
        sendOrder(EngineOrderKind::Record, 0, std::nullopt, order.record, std::move(m_pendingOrder->answer), now);
    } else if (!adoptSwitchMadeByEngine(reply.state, now)) {
        // Another agent sends orders, or a held step has started: the state of this rank is no longer reliable.
        excludeSelf();
    }
}

/// A delayed release from an earlier agent may have applied the outcome: the engine has the map only after a commit.
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

void RankParticipant::onOrderApplied(SteadyTime now)
{
    const bool newlyAccepted = m_pendingOrder->order.record.accepted && !m_record.accepted;
    m_record = m_pendingOrder->order.record;
    auto answer = std::move(m_pendingOrder->answer);
    m_pendingOrder.reset();
    if (auto *promised = answer ? std::get_if<Promised>(&answer->body) : nullptr) {
        // The engine's reply has a more recent step than its last report.
        promised->earliestStep = std::max(promised->earliestStep, m_engine->nextStep);
    }
    if (newlyAccepted) {
        m_takeoverDelay = m_options.initialTakeoverDelay;
        scheduleTakeover(now);
    }
    if (answer) {
        m_output.messages.push_back(*answer);
    }
}

void RankParticipant::onMessage(const GroupMessage &message, SteadyTime now)
{
    const bool isForThis = message.group == m_group && message.rank == m_rank && m_engine
        && message.incarnation == m_engine->incarnation;
    if (!isForThis || m_status != ParticipantStatus::Member || m_queuedMessages.size() >= maximumQueuedMessages) {
        ++m_droppedMessages;
    } else if (m_pendingOrder) {
        m_queuedMessages.push_back(message);
    } else {
        handle(message, now);
    }
}

void RankParticipant::handleQueuedMessages(SteadyTime now)
{
    while (m_status == ParticipantStatus::Member && !m_pendingOrder && !m_queuedMessages.empty()) {
        const GroupMessage message = std::move(m_queuedMessages.front());
        m_queuedMessages.pop_front();
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
    // Only coordinators handle answers.
    ++m_droppedMessages;
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
        refuse(message, request.ballot, RefusalReason::HigherBallot);
        return;
    }
    const std::uint64_t earliest = std::max(m_engine->nextStep, m_record.highestHeldStep + 1);
    GroupMessage answer = answerTo(
        message,
        Promised{request.ballot, m_session, earliest, m_record.map, m_record.accepted, m_record.lastResolution});
    scheduleTakeover(now);
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
        return RefusalReason::HigherBallot;
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
        refuse(message, request.ballot, RefusalReason::HigherBallot);
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
        // A correct coordinator never commits a proposal that this rank has not accepted.
        ++m_droppedMessages;
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
    if (ballot == m_sessionBallot && reason != RefusalReason::HigherBallot) {
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

void RankParticipant::scheduleTakeover(SteadyTime now)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, m_options.takeoverJitter.count());
    m_nextTakeover = now + m_takeoverDelay + Microseconds(jitter(*m_random));
}

void RankParticipant::onTick(SteadyTime now)
{
    if (m_pendingOrder && m_orderTimer.isDue(now)) {
        m_output.orders.push_back(m_pendingOrder->order);
        m_orderTimer.scheduleNext(now);
    }
    if (m_status == ParticipantStatus::Member && m_record.accepted && now >= m_nextTakeover) {
        m_output.takeoverDue = true;
        m_takeoverDelay = std::min(m_takeoverDelay * 2, m_options.maximumTakeoverDelay);
        scheduleTakeover(now);
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
    return m_droppedMessages;
}

} // namespace Cardamomhill
