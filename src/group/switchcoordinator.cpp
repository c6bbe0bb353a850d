#include "group/switchcoordinator.h"

#include <map>
#include <utility>

namespace Cardamomhill
{

SwitchCoordinator::SwitchCoordinator(GroupId group, CoordinatorOptions options, Random &random)
    : m_group(std::move(group))
    , m_options(options)
    , m_id(random())
    , m_retry(options.retry, options.retryLimit)
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
        m_interrupted = std::exchange(m_map, std::nullopt);
        promise(now);
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
    m_work = SwitchResult();
    m_proposal.reset();
    m_map = map;
    if (map) {
        enter(Phase::Staging, now);
    } else {
        promise(now);
    }
    return success();
}

void SwitchCoordinator::enter(Phase phase, SteadyTime now)
{
    m_phase = phase;
    m_phaseStart = now;
    m_lastProgress = now;
    m_answered.assign(m_options.ranks, false);
    m_retry = Backoff(m_options.retry, phase == Phase::Staging ? m_options.stagingRetryLimit : m_options.retryLimit);
    m_retry.restart(now);
    sendToSilent();
}

void SwitchCoordinator::promise(SteadyTime now)
{
    m_ballot = Ballot{m_ballot.number + 1, m_id};
    m_promises.assign(m_options.ranks, Promised());
    enter(Phase::Promising, now);
}

/// Resolves what was found, oldest first; then goes on to the own proposal.
void SwitchCoordinator::settle(SteadyTime now)
{
    if (!m_toSettle.empty()) {
        const Resolution next = m_toSettle.front();
        m_toSettle.erase(m_toSettle.begin());
        resolve(next, now);
    } else if (m_map) {
        prepare(now);
    } else if (m_interrupted) {
        m_map = std::exchange(m_interrupted, std::nullopt);
        enter(Phase::Staging, now);
    } else {
        finish(SwitchResultKind::TakenOver);
    }
}

void SwitchCoordinator::prepare(SteadyTime now)
{
    for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
        if (m_promises[rank].map.version >= m_map->version) {
            m_work.ranks.push_back(rank);
        }
    }
    if (!m_work.ranks.empty()) {
        finish(SwitchResultKind::OldMap);
        return;
    }
    m_proposal = Proposal{m_ballot, *m_map, switchStep(now)};
    enter(Phase::Preparing, now);
}

/// The number of steps in a duration, rounded up, at most the greatest lead.
std::uint64_t SwitchCoordinator::stepsWithin(Microseconds duration) const
{
    const auto step = std::max<std::int64_t>(m_options.stepTime.count(), 1);
    const auto steps = static_cast<std::uint64_t>((duration.count() + step - 1) / step);
    return std::min(steps, m_options.maximumLead);
}

/// Far enough ahead that prepare and resolve, each repeated once, end before any rank reaches the step.
std::uint64_t SwitchCoordinator::switchStep(SteadyTime now) const
{
    std::uint64_t current = 0;
    for (const Promised &promised : m_promises) {
        current = std::max(current, promised.earliestStep);
    }
    const std::uint64_t needed = stepsWithin(2 * (2 * m_roundTrip + m_options.retry));
    const auto sincePromise = std::chrono::duration_cast<Microseconds>(now - m_promisedAt);
    return current + stepsWithin(sincePromise) + std::max(m_options.minimumLead, needed);
}

void SwitchCoordinator::resolve(Resolution resolution, SteadyTime now)
{
    m_work.resolutions.push_back(resolution);
    enter(Phase::Resolving, now);
}

/// The proposals that some rank has accepted and not seen resolved, oldest first.
std::vector<Resolution> SwitchCoordinator::unresolved() const
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

/// A known outcome stands. Otherwise the proposal may have been committed only if all ranks accepted it; a rank that
/// has not accepted it never will, because it has promised this higher ballot.
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

void SwitchCoordinator::phaseDone(SteadyTime now)
{
    switch (m_phase) {
    case Phase::Staging:
        promise(now);
        break;
    case Phase::Promising:
        m_toSettle = unresolved();
        settle(now);
        break;
    case Phase::Preparing:
        resolve({*m_proposal, SwitchOutcome::Commit}, now);
        break;
    case Phase::Resolving:
        if (m_proposal) {
            const bool committed = m_work.resolutions.back().outcome == SwitchOutcome::Commit;
            finish(committed ? SwitchResultKind::Committed : SwitchResultKind::Aborted);
        } else {
            settle(now);
        }
        break;
    case Phase::Idle:
        break;
    }
}

void SwitchCoordinator::finish(SwitchResultKind kind)
{
    m_phase = Phase::Idle;
    m_interrupted.reset();
    m_messages.clear();
    m_work.kind = kind;
    m_result = std::exchange(m_work, {});
}

GroupMessageBody SwitchCoordinator::requestFor(std::uint32_t rank) const
{
    switch (m_phase) {
    case Phase::Staging:
        return StageRequest{*m_map};
    case Phase::Preparing:
        return PrepareRequest{m_promises[rank].session, *m_proposal};
    case Phase::Resolving:
        return ResolveRequest{m_ballot, m_work.resolutions.back()};
    case Phase::Promising:
    case Phase::Idle:
        break;
    }
    return PromiseRequest{m_ballot};
}

std::vector<std::uint32_t> SwitchCoordinator::silentRanks() const
{
    std::vector<std::uint32_t> ranks;
    for (std::uint32_t rank = 0; rank < m_answered.size(); ++rank) {
        if (!m_answered[rank]) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

void SwitchCoordinator::sendToSilent()
{
    for (const std::uint32_t rank : silentRanks()) {
        m_messages.push_back({m_group, m_incarnation, rank, m_options.ownRank, requestFor(rank)});
    }
}

/// Only work that has prepared nothing may be given up; a takeover goes on until all ranks answer.
bool SwitchCoordinator::hasExpired(SteadyTime now) const
{
    if (m_phase == Phase::Staging) {
        return now - m_phaseStart >= m_options.stagingLimit;
    }
    return m_phase == Phase::Promising && m_map && now - m_lastProgress >= m_options.silenceLimit;
}

void SwitchCoordinator::onTick(SteadyTime now)
{
    if (!isBusy()) {
        return;
    }
    if (hasExpired(now)) {
        m_work.ranks = silentRanks();
        finish(SwitchResultKind::RanksSilent);
    } else if (m_retry.isDue(now)) {
        sendToSilent();
        m_retry.advance(now);
    }
}

void SwitchCoordinator::onMessage(const GroupMessage &message, SteadyTime now)
{
    const bool mine = isBusy() && message.group == m_group && message.incarnation == m_incarnation
        && message.coordinatorRank == m_options.ownRank && message.rank < m_options.ranks;
    if (!mine || !std::visit([&](const auto &body) { return noteBody(message, body, now); }, message.body)) {
        ++m_dropped;
    }
}

void SwitchCoordinator::noteAnswer(std::uint32_t rank, SteadyTime now)
{
    m_answered[rank] = true;
    m_lastProgress = now;
    if (silentRanks().empty()) {
        phaseDone(now);
    }
}

template<class Request>
bool SwitchCoordinator::noteBody(const GroupMessage &, const Request &, SteadyTime)
{
    // Requests are for ranks.
    return false;
}

bool SwitchCoordinator::noteBody(const GroupMessage &message, const Staged &staged, SteadyTime now)
{
    if (m_phase != Phase::Staging || staged.map != m_map) {
        return false;
    }
    noteAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::noteBody(const GroupMessage &message, const Promised &promised, SteadyTime now)
{
    // The first answer counts: a later one can come from a restarted agent, whose session may not prepare.
    if (m_phase != Phase::Promising || promised.ballot != m_ballot || m_answered[message.rank]) {
        return false;
    }
    m_promises[message.rank] = promised;
    m_promisedAt = now;
    m_roundTrip = std::chrono::duration_cast<Microseconds>(now - m_phaseStart);
    noteAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::noteBody(const GroupMessage &message, const Accepted &accepted, SteadyTime now)
{
    if (m_phase != Phase::Preparing || accepted.ballot != m_ballot) {
        return false;
    }
    noteAnswer(message.rank, now);
    return true;
}

bool SwitchCoordinator::noteBody(const GroupMessage &message, const Refused &refused, SteadyTime now)
{
    if (refused.ballot != m_ballot || m_phase == Phase::Staging) {
        return false;
    }
    if (refused.reason == RefusalReason::Outranked) {
        m_ballot.number = std::max(m_ballot.number, refused.promised.number);
        m_work.ranks = {message.rank};
        m_work.reason = refused.reason;
        finish(SwitchResultKind::Outranked);
        return true;
    }
    if (m_phase != Phase::Preparing) {
        return false;
    }
    m_work.reason = refused.reason;
    m_work.ranks = {message.rank};
    resolve({*m_proposal, SwitchOutcome::Abort}, now);
    return true;
}

bool SwitchCoordinator::noteBody(const GroupMessage &message, const Resolved &resolved, SteadyTime now)
{
    if (m_phase != Phase::Resolving || resolved.ballot != m_ballot
        || resolved.proposal != m_work.resolutions.back().proposal.ballot) {
        return false;
    }
    noteAnswer(message.rank, now);
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
    return m_dropped;
}

} // namespace Cardamomhill
