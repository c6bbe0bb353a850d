#pragma once

#include "core/random.h"
#include "group/enginereply.h"
#include "group/participantoptions.h"
#include "group/participantoutput.h"
#include "group/participantstatus.h"
#include "group/retransmissiontimer.h"

#include <deque>
#include <map>
#include <set>

namespace Cardamomhill
{

/// Takes part in switches of the expert map for one rank. It answers coordinators and has one order to its engine
/// outstanding at a time. Each promise, acceptance and resolution is stored in the engine's record before it is
/// answered, so a restarted agent can restore it. When the engine cannot return the record, the participant excludes
/// itself until the group's next incarnation.
class RankParticipant
{
public:
    /// The generator must outlive the participant.
    RankParticipant(GroupId group, std::uint32_t rank, ParticipantOptions options, Random &random);

    /// Call with a state report of the engine after the start of the agent, then periodically.
    void onEngineState(const EngineState &state, SteadyTime now);
    /// The engine's answer to an order.
    void onEngineReply(const EngineReply &reply, SteadyTime now);
    /// A message from a coordinator.
    void onMessage(const GroupMessage &message, SteadyTime now);
    /// The engine has loaded the weights of a map in this incarnation.
    void onStaged(std::uint64_t incarnation, const ExpertMapId &map);
    /// Call every few milliseconds while an order or a proposal is outstanding, else at least once a second.
    void onTick(SteadyTime now);

    /// Returns the actions requested since the last call.
    ParticipantOutput takeOutput();

    ParticipantStatus status() const;
    std::uint64_t incarnation() const;
    const EngineRecord &record() const;
    /// Messages dropped: for another group, rank or incarnation, received while the rank was not a member or its queue
    /// was full, or impossible in the protocol.
    std::uint64_t droppedMessages() const;

private:
    struct PendingOrder {
        EngineOrder order;
        /// Sent once the order has been applied.
        std::optional<GroupMessage> answer;
    };

    void joinIncarnation(const EngineState &state, bool observedEarlierIncarnation, SteadyTime now);
    void adoptEngineState(const EngineState &state, SteadyTime now);
    bool isConsistent(const EngineRecord &record, const EngineState &state) const;
    void excludeSelf();
    void repairEngineState(SteadyTime now);
    void finishPendingOrder(const EngineReply &reply, SteadyTime now);
    void onOrderApplied(SteadyTime now);
    bool adoptSwitchMadeByEngine(const EngineState &state, SteadyTime now);
    void sendOrder(EngineOrderKind kind,
                   std::uint64_t step,
                   std::optional<ExpertMapId> map,
                   const EngineRecord &record,
                   std::optional<GroupMessage> answer,
                   SteadyTime now);
    void handleQueuedMessages(SteadyTime now);
    void handle(const GroupMessage &message, SteadyTime now);
    void handleBody(const GroupMessage &message, const StageRequest &request, SteadyTime now);
    void handleBody(const GroupMessage &message, const PromiseRequest &request, SteadyTime now);
    void handleBody(const GroupMessage &message, const PrepareRequest &request, SteadyTime now);
    void handleBody(const GroupMessage &message, const ResolveRequest &request, SteadyTime now);
    template<class Answer>
    void handleBody(const GroupMessage &message, const Answer &answer, SteadyTime now);
    std::optional<RefusalReason> reasonToRefuse(const PrepareRequest &request) const;
    void resolveAccepted(const GroupMessage &message, const ResolveRequest &request, SteadyTime now);
    GroupMessage answerTo(const GroupMessage &message, const GroupMessageBody &body) const;
    void refuse(const GroupMessage &message, const Ballot &ballot, RefusalReason reason);
    void scheduleTakeover(SteadyTime now);

    GroupId m_group;
    std::uint32_t m_rank;
    ParticipantOptions m_options;
    Random *m_random;
    ParticipantStatus m_status = ParticipantStatus::Starting;
    std::optional<EngineState> m_engine;
    EngineRecord m_record;
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_session = 0;
    /// The ballot promised in this session; prepare requests with other ballots are refused.
    std::optional<Ballot> m_sessionBallot;
    /// The refusal of the session ballot's proposal. A duplicate of the prepare request must not be accepted later,
    /// because the coordinator may have aborted on the refusal.
    std::optional<Refused> m_refused;
    std::set<ExpertMapId> m_staged;
    /// Requests to answer once the weights are loaded: the last one of each coordinator rank.
    std::map<std::uint32_t, GroupMessage> m_stageRequests;
    std::optional<PendingOrder> m_pendingOrder;
    RetransmissionTimer m_orderTimer;
    std::deque<GroupMessage> m_queuedMessages;
    SteadyTime m_nextTakeover;
    Microseconds m_takeoverDelay;
    ParticipantOutput m_output;
    std::uint64_t m_droppedMessages = 0;
};

} // namespace Cardamomhill
