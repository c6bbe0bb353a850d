#pragma once

#include "core/random.h"
#include "group/backoff.h"
#include "group/coordinatoroptions.h"
#include "group/groupmessage.h"
#include "group/switchresult.h"

#include <vector>

namespace Cardamomhill
{

/// Moves a group to a new expert map: stage, promise, prepare, resolve. Any agent of the group may run one, and several
/// at once are safe. It keeps nothing over a restart; another coordinator with a higher ballot finishes its work.
class SwitchCoordinator
{
public:
    /// The generator must outlive the coordinator.
    SwitchCoordinator(GroupId group, CoordinatorOptions options, Random &random);

    /// The incarnation that the own rank's engine reports. A change ends the work at hand.
    void onIncarnation(std::uint64_t incarnation);
    /// Starts a switch to the map.
    Result<void, GroupError> propose(const ExpertMapId &map, SteadyTime now);
    /// Starts to resolve whatever an earlier coordinator left unresolved. A switch that is still staging, which can
    /// take minutes, waits for it and then goes on.
    Result<void, GroupError> takeOver(SteadyTime now);
    /// An answer of a rank.
    void onMessage(const GroupMessage &message, SteadyTime now);
    /// To be called every few milliseconds while the coordinator is busy.
    void onTick(SteadyTime now);

    bool isBusy() const;
    /// Requests to be sent to the agents of their `rank`.
    std::vector<GroupMessage> takeMessages();
    /// The result of the work that ended since the last call.
    std::optional<SwitchResult> takeResult();
    /// Messages dropped because they belong to another group or incarnation, or to no request at hand.
    std::uint64_t droppedMessages() const;

private:
    enum class Phase : std::uint8_t { Idle, Staging, Promising, Preparing, Resolving };

    Result<void, GroupError> start(std::optional<ExpertMapId> map, SteadyTime now);
    void enter(Phase phase, SteadyTime now);
    void promise(SteadyTime now);
    void settle(SteadyTime now);
    void prepare(SteadyTime now);
    void resolve(Resolution resolution, SteadyTime now);
    void phaseDone(SteadyTime now);
    void finish(SwitchResultKind kind);
    void sendToSilent();
    GroupMessageBody requestFor(std::uint32_t rank) const;
    std::vector<std::uint32_t> silentRanks() const;
    bool hasExpired(SteadyTime now) const;
    void noteAnswer(std::uint32_t rank, SteadyTime now);
    bool noteBody(const GroupMessage &message, const Staged &staged, SteadyTime now);
    bool noteBody(const GroupMessage &message, const Promised &promised, SteadyTime now);
    bool noteBody(const GroupMessage &message, const Accepted &accepted, SteadyTime now);
    bool noteBody(const GroupMessage &message, const Refused &refused, SteadyTime now);
    bool noteBody(const GroupMessage &message, const Resolved &resolved, SteadyTime now);
    template<class Request>
    bool noteBody(const GroupMessage &message, const Request &request, SteadyTime now);
    std::uint64_t stepsWithin(Microseconds duration) const;
    std::vector<Resolution> unresolved() const;
    SwitchOutcome outcomeOf(const Proposal &proposal) const;
    std::uint64_t switchStep(SteadyTime now) const;

    GroupId m_group;
    CoordinatorOptions m_options;
    std::uint64_t m_incarnation = 0;
    /// The highest ballot used or seen; the coordinator part is this coordinator's own.
    Ballot m_ballot;
    std::uint64_t m_id;
    Phase m_phase = Phase::Idle;
    std::optional<ExpertMapId> m_map;
    /// The map whose staging was interrupted by a takeover.
    std::optional<ExpertMapId> m_interrupted;
    std::optional<Proposal> m_proposal;
    std::vector<Promised> m_promises;
    /// When the last rank promised.
    SteadyTime m_promisedAt;
    std::vector<bool> m_answered;
    /// Found unresolved, still to be resolved before the own proposal.
    std::vector<Resolution> m_toSettle;
    SteadyTime m_phaseStart;
    SteadyTime m_lastProgress;
    Microseconds m_roundTrip{0};
    Backoff m_retry;
    SwitchResult m_work;
    std::optional<SwitchResult> m_result;
    std::vector<GroupMessage> m_messages;
    std::uint64_t m_dropped = 0;
};

} // namespace Cardamomhill
