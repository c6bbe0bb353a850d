#include "group/switchcoordinator.h"

#include <map>
#include <utility>

namespace Cardamomhill
{

SwitchCoordinator::SwitchCoordinator(GroupId group, CoordinatorOptions options, Random &random)
    : m_group(std::move(group))
    , m_options(options)
    , m_coordinatorId(random())
    , m_requestTimer(options.initialRetryDelay, options.maximumRetryDelay)
{
}

void SwitchCoordinator::onIncarnation(std::uint64_t incarnation)
{
    if (incarnation <= m_incarnation) {
        return;
    }
    m_incarnation = incarnation;
    if (isBusy()) {
        finish(SwitchResultKind::OtherIncarnation);
    }
}

Result<void, GroupError> SwitchCoordinator::propose(const ExpertMapId &map, SteadyTime now)
{
    return start(map, now);
}

Result<void, GroupError> SwitchCoordinator::takeOver(SteadyTime now)
{
    if (m_phase == Phase::Staging) {
        m_interruptedMap = std::exchange(m_map, std::nullopt);
        requestPromises(now);
        return success();
    }
    return start(std::nullopt, now);
}

Result<void, GroupError> SwitchCoordinator::start(std::optional<ExpertMapId> map, SteadyTime now)
{
    if (isBusy()) {
        return failure(GroupError{GroupErrorCode::Busy, 0});
    }
    if (m_incarnation == 0) {
        return failure(GroupError{GroupErrorCode::NoIncarnation, 0});
    }
    m_currentResult = SwitchResult();
    m_proposal.reset();
    m_map = map;
    if (map) {
        enterPhase(Phase::Staging, now);
    } else {
        requestPromises(now);
    }
    return success();
}

void SwitchCoordinator::enterPhase(Phase phase, SteadyTime now)
{
    m_phase = phase;
    m_phaseStart = now;
    m_lastProgress = now;
    m_answered.assign(m_options.rankCount, false);
    m_requestTimer = RetransmissionTimer(m_options.initialRetryDelay,
                                         phase == Phase::Staging ? m_options.maximumStagingRetryDelay
                                                                 : m_options.maximumRetryDelay);
    m_requestTimer.restart(now);
    sendUnansweredRequests();
}

void SwitchCoordinator::requestPromises(SteadyTime now)
{
    m_ballot = Ballot{m_ballot.number + 1, m_coordinatorId};
    m_promises.assign(m_options.rankCount, Promised());
    enterPhase(Phase::Promising, now);
}

/// Resolves the next proposal found unresolved, oldest first. After the last one, continues the own switch, if any.
void SwitchCoordinator::resolvePendingOrContinue(SteadyTime now)
{
    if (!m_pendingResolutions.empty()) {
        const Resolution next = m_pendingResolutions.front();
        m_pendingResolutions.erase(m_pendingResolutions.begin());
        resolve(next, now);
    } else if (m_map) {
        prepare(now);
    } else if (m_interruptedMap) {
        m_map = std::exchange(m_interruptedMap, std::nullopt);
        enterPhase(Phase::Staging, now);
    } else {
        finish(SwitchResultKind::TakenOver);
    }
}

void SwitchCoordinator::prepare(SteadyTime now)
{
    for (std::uint32_t rank = 0; rank < m_options.rankCount; ++rank) {
        if (m_promises[rank].map.version >= m_map->version) {
            m_currentResult.ranks.push_back(rank);
        }
    }
    if (!m_currentResult.ranks.empty()) {
        finish(SwitchResultKind::OldMap);
        return;
    }
    m_proposal = Proposal{m_ballot, *m_map, switchStep(now)};
    enterPhase(Phase::Preparing, now);
}

/// The number of steps in a duration, rounded up and limited to the maximum lead.
std::uint64_t SwitchCoordinator::stepsWithin(Microseconds duration) const
{
    const auto step = std::max<std::int64_t>(m_options.stepTime.count(), 1);
    const auto steps = static_cast<std::uint64_t>((duration.count() + step - 1) / step);
    return std::min(steps, m_options.maximumLeadSteps);
}

/// A step far enough ahead that prepare and resolve, each retransmitted once, end before any rank reaches it.
std::uint64_t SwitchCoordinator::switchStep(SteadyTime now) const
{
    std::uint64_t current = 0;
    for (const Promised &promised : m_promises) {
        current = std::max(current, promised.earliestStep);
    }
    const std::uint64_t needed = stepsWithin(2 * (2 * m_roundTrip + m_options.initialRetryDelay));
    const auto sincePromise = std::chrono::duration_cast<Microseconds>(now - m_promisedAt);
    return current + stepsWithin(sincePromise) + std::max(m_options.minimumLeadSteps, needed);
}

void SwitchCoordinator::resolve(Resolution resolution, SteadyTime now)
{
    m_currentResult.resolutions.push_back(resolution);
    enterPhase(Phase::Resolving, now);
}

/// The outcomes of proposals that some rank has accepted and that are not resolved there, oldest first.
std::vector<Resolution> SwitchCoordinator::resolutionsOfUnresolved() const
{
    std::map<Ballot, Proposal> open;
    for (const Promised &promised : m_promises) {
        if (promised.accepted) {
            open.emplace(promised.accepted->ballot, *promised.accepted);
        }
    }
    std::vector<Resolution> resolutions;
    resolutions.reserve(open.size());
    for (const auto &[ballot, proposal] : open) {
        resolutions.push_back({proposal, outcomeOf(proposal)});
    }
    return resolutions;
}

/// An outcome that a rank knows is final. Otherwise the proposal can have been committed only if all ranks accepted it;
/// a rank that has not accepted it never will, because it has promised this higher ballot.
SwitchOutcome SwitchCoordinator::outcomeOf(const Proposal &proposal) const
{
    std::size_t accepted = 0;
    for (const Promised &promised : m_promises) {
        if (promised.lastResolution && promised.lastResolution->proposal == proposal) {
            return promised.lastResolution->outcome;
        }
        accepted += promised.accepted == proposal ? 1 : 0;
    }
    return accepted == m_promises.size() ? SwitchOutcome::Commit : SwitchOutcome::Abort;
}

void SwitchCoordinator::completePhase(SteadyTime now)
{
    switch (m_phase) {
    case Phase::Staging:
        requestPromises(now);
        break;
    case Phase::Promising:
        m_pendingResolutions = resolutionsOfUnresolved();
        resolvePendingOrContinue(now);
        break;
    case Phase::Preparing:
        resolve({*m_proposal, SwitchOutcome::Commit}, now);
        break;
    case Phase::Resolving:
        if (m_proposal) {
            const bool committed = m_currentResult.resolutions.back().outcome == SwitchOutcome::Commit;
            finish(committed ? SwitchResultKind::Committed : SwitchResultKind::Aborted);
        } else {
            resolvePendingOrContinue(now);
        }
        break;
    case Phase::Idle:
        break;
    }
}

void SwitchCoordinator::finish(SwitchResultKind kind)
{
    m_phase = Phase::Idle;
    m_interruptedMap.reset();
    m_messages.clear();
    m_currentResult.kind = kind;
    m_result = std::exchange(m_currentResult, {});
}

GroupMessageBody SwitchCoordinator::requestFor(std::uint32_t rank) const
{
    switch (m_phase) {
    case Phase::Staging:
        return StageRequest{*m_map};
    case Phase::Preparing:
        return PrepareRequest{m_promises[rank].session, *m_proposal};
    case Phase::Resolving:
        return ResolveRequest{m_ballot, m_currentResult.resolutions.back()};
    case Phase::Promising:
    case Phase::Idle:
        break;
    }
    return PromiseRequest{m_ballot};
}

std::vector<std::uint32_t> SwitchCoordinator::unansweredRanks() const
{
    std::vector<std::uint32_t> ranks;
    for (std::uint32_t rank = 0; rank < m_answered.size(); ++rank) {
        if (!m_answered[rank]) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

void SwitchCoordinator::sendUnansweredRequests()
{
    for (const std::uint32_t rank : unansweredRanks()) {
        m_messages.push_back({m_group, m_incarnation, rank, m_options.ownRank, requestFor(rank)});
    }
}

/// A switch may be given up only before its prepare phase; a takeover continues until all ranks have answered.
bool SwitchCoordinator::hasExpired(SteadyTime now) const
{
    if (m_phase == Phase::Staging) {
        return now - m_phaseStart >= m_options.stagingTimeout;
    }
    return m_phase == Phase::Promising && m_map && now - m_lastProgress >= m_options.responseTimeout;
}

void SwitchCoordinator::onTick(SteadyTime now)
{
    if (!isBusy()) {
        return;
    }
    if (hasExpired(now)) {
        m_currentResult.ranks = unansweredRanks();
        finish(SwitchResultKind::RanksUnresponsive);
    } else if (m_requestTimer.isDue(now)) {
        sendUnansweredRequests();
        m_requestTimer.scheduleNext(now);
    }
}

void SwitchCoordinator::onMessage(const GroupMessage &message, SteadyTime now)
{
    const bool isForThis = isBusy() && message.group == m_group && message.incarnation == m_incarnation
        && message.coordinatorRank == m_options.ownRank && message.rank < m_options.rankCount;
    if (!isForThis || !std::visit([&](const auto &body) { return handleBody(message, body, now); }, message.body)) {
        ++m_droppedMessages;
    }
}

void SwitchCoordinator::recordAnswer(std::uint32_t rank, SteadyTime now)
{
    m_answered[rank] = true;
    m_lastProgress = now;
    if (unansweredRanks().empty()) {
        completePhase(now);
    }
}

template<class Request>
bool SwitchCoordinator::handleBody(const GroupMessage &, const Request &, SteadyTime)
{
    // Only ranks handle requests.
    return false;
}

bool SwitchCoordinator::handleBody(const GroupMessage &message, const Staged &staged, SteadyTime now)
{
    if (m_phase != Phase::Staging || staged.map != m_map) {
        return false;
    }
    recordAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::handleBody(const GroupMessage &message, const Promised &promised, SteadyTime now)
{
    // Only the first answer counts: a later one can come from a restarted agent, whose session must not be used to
    // prepare.
    if (m_phase != Phase::Promising || promised.ballot != m_ballot || m_answered[message.rank]) {
        return false;
    }
    m_promises[message.rank] = promised;
    m_promisedAt = now;
    m_roundTrip = std::chrono::duration_cast<Microseconds>(now - m_phaseStart);
    recordAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::handleBody(const GroupMessage &message, const Accepted &accepted, SteadyTime now)
{
    if (m_phase != Phase::Preparing || accepted.ballot != m_ballot) {
        return false;
    }
    recordAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::handleBody(const GroupMessage &message, const Refused &refused, SteadyTime now)
{
    if (refused.ballot != m_ballot || m_phase == Phase::Staging) {
        return false;
    }
    if (refused.reason == RefusalReason::HigherBallot) {
        m_ballot.number = std::max(m_ballot.number, refused.promised.number);
        m_currentResult.ranks = {message.rank};
        m_currentResult.reason = refused.reason;
        finish(SwitchResultKind::HigherBallot);
        return true;
    }
    if (m_phase != Phase::Preparing) {
        return false;
    }
    m_currentResult.reason = refused.reason;
    m_currentResult.ranks = {message.rank};
    resolve({*m_proposal, SwitchOutcome::Abort}, now);
    return true;
}

bool SwitchCoordinator::handleBody(const GroupMessage &message, const Resolved &resolved, SteadyTime now)
{
    if (m_phase != Phase::Resolving || resolved.ballot != m_ballot
        || resolved.proposal != m_currentResult.resolutions.back().proposal.ballot) {
        return false;
    }
    recordAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::isBusy() const
{
    return m_phase != Phase::Idle;
}

std::vector<GroupMessage> SwitchCoordinator::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::optional<SwitchResult> SwitchCoordinator::takeResult()
{
    return std::exchange(m_result, std::nullopt);
}

std::uint64_t SwitchCoordinator::droppedMessages() const
{
    return m_droppedMessages;
}

} // namespace Cardamomhill
