#pragma once

#include "core/random.h"
#include "group/coordinatoroptions.h"
#include "group/groupmessage.h"
#include "group/retransmissiontimer.h"
#include "group/switchresult.h"

#include <vector>

namespace Cardamomhill
{

/// Switches a group to a new expert map in four phases: stage, promise, prepare, resolve. Any agent of the group may
/// run a coordinator, and several at once are safe. It has no persistent state: after a restart, another coordinator
/// with a higher ballot completes the switch.
class SwitchCoordinator
{
public:
    /// The generator must outlive the coordinator.
    SwitchCoordinator(GroupId group, CoordinatorOptions options, Random &random);

    /// Call with the incarnation that the own rank's engine reports. A new one ends the operation in progress.
    void onIncarnation(std::uint64_t incarnation);
    /// Starts a switch to the map.
    Result<void, GroupError> propose(const ExpertMapId &map, SteadyTime now);
    /// Starts to resolve the proposals that an earlier coordinator left unresolved. A switch of this coordinator that
    /// is still staging, which can take minutes, is interrupted and then continued.
    Result<void, GroupError> takeOver(SteadyTime now);
    /// An answer from a rank.
    void onMessage(const GroupMessage &message, SteadyTime now);
    /// Call every few milliseconds while the coordinator is busy.
    void onTick(SteadyTime now);

    bool isBusy() const;
    /// Requests to be sent to the agents of their `rank`.
    std::vector<GroupMessage> takeMessages();
    /// The result of the operation that ended since the last call.
    std::optional<SwitchResult> takeResult();
    /// Messages dropped because they belong to another group or incarnation, or answer no current request.
    std::uint64_t droppedMessages() const;

private:
    enum class Phase : std::uint8_t { Idle, Staging, Promising, Preparing, Resolving };

    Result<void, GroupError> start(std::optional<ExpertMapId> map, SteadyTime now);
    void enterPhase(Phase phase, SteadyTime now);
    void requestPromises(SteadyTime now);
    void resolvePendingOrContinue(SteadyTime now);
    void prepare(SteadyTime now);
    void resolve(Resolution resolution, SteadyTime now);
    void completePhase(SteadyTime now);
    void finish(SwitchResultKind kind);
    void sendUnansweredRequests();
    GroupMessageBody requestFor(std::uint32_t rank) const;
    std::vector<std::uint32_t> unansweredRanks() const;
    bool hasExpired(SteadyTime now) const;
    void recordAnswer(std::uint32_t rank, SteadyTime now);
    bool handleBody(const GroupMessage &message, const Staged &staged, SteadyTime now);
    bool handleBody(const GroupMessage &message, const Promised &promised, SteadyTime now);
    bool handleBody(const GroupMessage &message, const Accepted &accepted, SteadyTime now);
    bool handleBody(const GroupMessage &message, const Refused &refused, SteadyTime now);
    bool handleBody(const GroupMessage &message, const Resolved &resolved, SteadyTime now);
    template<class Request>
    bool handleBody(const GroupMessage &message, const Request &request, SteadyTime now);
    std::uint64_t stepsWithin(Microseconds duration) const;
    std::vector<Resolution> resolutionsOfUnresolved() const;
    SwitchOutcome outcomeOf(const Proposal &proposal) const;
    std::uint64_t switchStep(SteadyTime now) const;

    GroupId m_group;
    CoordinatorOptions m_options;
    std::uint64_t m_incarnation = 0;
    /// The highest ballot number used or received, with the identifier of this coordinator.
    Ballot m_ballot;
    std::uint64_t m_coordinatorId;
    Phase m_phase = Phase::Idle;
    std::optional<ExpertMapId> m_map;
    /// The map whose staging a takeover interrupted.
    std::optional<ExpertMapId> m_interruptedMap;
    std::optional<Proposal> m_proposal;
    std::vector<Promised> m_promises;
    /// When the last promise was received.
    SteadyTime m_promisedAt;
    std::vector<bool> m_answered;
    /// Of proposals found unresolved; sent to the ranks before the own proposal.
    std::vector<Resolution> m_pendingResolutions;
    SteadyTime m_phaseStart;
    SteadyTime m_lastProgress;
    Microseconds m_roundTrip{0};
    RetransmissionTimer m_requestTimer;
    SwitchResult m_currentResult;
    std::optional<SwitchResult> m_result;
    std::vector<GroupMessage> m_messages;
    std::uint64_t m_droppedMessages = 0;
};

} // namespace Cardamomhill
