#pragma once

#include "core/random.h"
#include "group/backoff.h"
#include "group/enginereply.h"
#include "group/participantoptions.h"
#include "group/participantoutput.h"
#include "group/participantstatus.h"

#include <deque>
#include <map>
#include <set>

namespace Cardamomhill
{

/// One rank's part in switches of the expert map. It answers coordinators and gives its engine one order at a time.
/// Each promise, acceptance and resolution is in the engine's record before it is answered, so a restarted agent reads
/// it back. When the engine cannot tell it, the participant stays out until the group's next incarnation.
class RankParticipant
{
public:
    /// The generator must outlive the participant.
    RankParticipant(GroupId group, std::uint32_t rank, ParticipantOptions options, Random &random);

    /// A report of the engine: to be passed in after the start of the agent, then periodically.
    void onEngineState(const EngineState &state, SteadyTime now);
    /// The engine's answer to an order.
    void onEngineReply(const EngineReply &reply, SteadyTime now);
    /// A message from a coordinator.
    void onMessage(const GroupMessage &message, SteadyTime now);
    /// The engine of this incarnation has loaded the weights of a map.
    void onStaged(std::uint64_t incarnation, const ExpertMapId &map);
    /// To be called every few milliseconds while an order or a proposal is open, else at least once a second.
    void onTick(SteadyTime now);

    /// Takes what is to be done since the last call.
    ParticipantOutput takeOutput();

    ParticipantStatus status() const;
    std::uint64_t incarnation() const;
    const EngineRecord &record() const;
    /// Messages dropped because they belong to another group, rank or incarnation, or came while the rank was out.
    std::uint64_t droppedMessages() const;

private:
    struct PendingOrder {
        EngineOrder order;
        /// Sent when the order has been applied.
        std::optional<GroupMessage> answer;
    };

    void join(const EngineState &state, bool watchedEarlierIncarnation, SteadyTime now);
    void adopt(const EngineState &state, SteadyTime now);
    bool explains(const EngineRecord &record, const EngineState &state) const;
    void goOut();
    void repair(SteadyTime now);
    void finishOrder(const EngineReply &reply, SteadyTime now);
    void applied(SteadyTime now);
    bool adoptSwitchMadeByEngine(const EngineState &state, SteadyTime now);
    void sendOrder(EngineOrderKind kind,
                   std::uint64_t step,
                   std::optional<ExpertMapId> map,
                   const EngineRecord &record,
                   std::optional<GroupMessage> answer,
                   SteadyTime now);
    void handleWaiting(SteadyTime now);
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
    void delayTakeover(SteadyTime now);

    GroupId m_group;
    std::uint32_t m_rank;
    ParticipantOptions m_options;
    Random *m_random;
    ParticipantStatus m_status = ParticipantStatus::Starting;
    std::optional<EngineState> m_engine;
    EngineRecord m_record;
    std::uint64_t m_fence = 0;
    std::uint64_t m_session = 0;
    /// The ballot that was promised in this session. Only it may prepare.
    std::optional<Ballot> m_sessionBallot;
    /// The ballot whose proposal was refused: a later copy of the prepare must not be accepted, because its
    /// coordinator may have aborted on the refusal.
    std::optional<Refused> m_refused;
    std::set<ExpertMapId> m_staged;
    /// Requests to answer when the weights are loaded; one for each coordinator that asked last.
    std::map<std::uint32_t, GroupMessage> m_stageRequests;
    std::optional<PendingOrder> m_order;
    Backoff m_orderRetry;
    std::deque<GroupMessage> m_waiting;
    SteadyTime m_takeoverAt;
    Microseconds m_takeoverDelay;
    ParticipantOutput m_output;
    std::uint64_t m_dropped = 0;
};

} // namespace Cardamomhill
