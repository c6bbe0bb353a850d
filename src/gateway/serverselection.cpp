#include "gateway/serverselection.h"

#include "core/hash.h"
#include "gateway/callstate.h"
#include "gateway/gatewaythread.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

/// Fraction of the time that a caller waits for a first event after which a call without room is refused. Callers that
/// are refused early can turn to something else; a late refusal has cost them their time as well.
constexpr double MaxWaitFraction = 0.6;
/// How often a call that waits looks whether it can be sent.
constexpr Milliseconds QueueCheckPeriod{10};

/// The place of a call in the queue of its service while it waits.
class QueuePlace
{
public:
    QueuePlace(CallQueue &queue, const WaitingCall &call)
        : m_queue(queue)
        , m_organisation(call.organisation)
        , m_ticket(queue.add(call))
    {
    }

    ~QueuePlace()
    {
        m_queue.remove(m_ticket);
    }

    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;

    bool isNext(SteadyTime now) const
    {
        return m_queue.isNext(m_ticket, now);
    }

    bool canBeServed(SteadyTime now) const
    {
        return m_queue.canBeServed(m_ticket, now);
    }

    void recordSent(SteadyTime now) const
    {
        m_queue.recordSent(now, m_organisation);
    }

private:
    CallQueue &m_queue;
    WaitingCall::OrganisationKey m_organisation;
    CallQueue::Ticket m_ticket;
};

} // namespace

ServerSelection::ServerSelection(GatewayThread &thread, const CallState &state)
    : m_thread(thread)
    , m_state(state)
{
}

Task<ServerChoice> ServerSelection::choose()
{
    const auto &admission = m_state.query.admission;
    const bool isQueued = m_thread.serviceOutage(m_state.query.service).isEnabled() && m_state.isReturning()
        && m_state.attempts.count() == 0;
    if (admission && (admission->group || isQueued)) {
        co_return co_await chooseInOrder();
    }
    asio::steady_timer timer(m_thread.context());
    SystemError error;
    while (true) {
        const auto now = steadyNow();
        auto choice = chooseNow(now, true);
        if (error || m_state.isCallerGone || m_state.isEndedEarly || !shouldWait(choice, now)) {
            co_return choice;
        }
        timer.expires_after(QueueCheckPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

ServerChoice ServerSelection::chooseNow(SteadyTime now, bool isLastChance)
{
    auto &outage = m_thread.serviceOutage(m_state.query.service);
    // A caller that has come back would be lost by a probe that fails.
    const bool mayProbe = isLastChance || !m_state.isReturning();
    if (isStopped(now) && !(mayProbe && outage.tryProbe(now))) {
        ServerChoice choice;
        choice.reason = ChoiceReason::ServiceStopped;
        return choice;
    }
    auto choice = m_thread.servers().choose(m_state.query, now, m_thread.random());
    const bool isForming = m_thread.servers().isForming(m_state.query.service, now);
    if (m_state.query.admission && choice.reason == ChoiceReason::GroupsClosed && !isForming) {
        outage.recordFailure(now);
    }
    return choice;
}

bool ServerSelection::isStopped(SteadyTime now) const
{
    // A call that was sent before may be continued where its first server has failed, so it is not held back.
    const auto &service = m_state.query.service;
    return m_state.query.admission && m_state.attempts.count() == 0 && m_thread.serviceOutage(service).isOut(now)
        && !m_thread.servers().isForming(service, now);
}

Task<ServerChoice> ServerSelection::chooseInOrder()
{
    const auto waiting = waitingCall();
    const auto waitLimit = CallQueue::waitLimit(waiting);
    const auto &outage = m_thread.serviceOutage(m_state.query.service);
    const QueuePlace place(m_thread.callQueue(m_state.query.service), waiting);
    asio::steady_timer timer(m_thread.context());
    SystemError error;
    while (true) {
        const auto now = steadyNow();
        ServerChoice choice;
        const bool isOut = isStopped(now);
        const bool isLastChance = now + QueueCheckPeriod >= waitLimit;
        choice.reason = isOut ? ChoiceReason::ServiceStopped : ChoiceReason::AllFull;
        // Calls that wait for the end of an outage do not keep others from finding out whether it is over.
        const bool mayAsk = isOut ? isLastChance || !m_state.isReturning() : place.isNext(now);
        if (mayAsk) {
            choice = chooseNow(now, isLastChance);
        }
        if (error || m_state.isCallerGone || m_state.isEndedEarly) {
            co_return choice;
        }
        if (isAdmitted(choice, now)) {
            place.recordSent(now);
            co_return choice;
        }
        if (choice.hasServer()) {
            choice = ServerChoice();
            choice.reason = ChoiceReason::AllFull;
        }
        // No call was sent lately, while the service had stopped and its groups were formed again.
        const bool isUnknownRate = outage.isOut(now) || outage.isRecovering(now);
        const auto wholeWait = std::chrono::duration_cast<Microseconds>(waitLimit - m_state.startedAt);
        if (now >= waitLimit || !mayGetRoom(choice, wholeWait, now) || !(isUnknownRate || place.canBeServed(now))) {
            co_return choice;
        }
        timer.expires_after(QueueCheckPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

bool ServerSelection::mayGetRoom(const ServerChoice &choice, Microseconds wholeWait, SteadyTime now) const
{
    switch (choice.reason) {
    case ChoiceReason::AllFull:
    case ChoiceReason::AllCold:
        return true;
    case ChoiceReason::GroupsClosed:
        if (m_thread.servers().isForming(m_state.query.service, now)) {
            return true;
        }
        [[fallthrough]];
    case ChoiceReason::ServiceStopped:
        return m_state.isReturning() && m_thread.serviceOutage(m_state.query.service).isWorthWaiting(wholeWait, now);
    default:
        return false;
    }
}

bool ServerSelection::isAdmitted(const ServerChoice &choice, SteadyTime now)
{
    if (!choice.hasServer() || shouldWait(choice, now)) {
        return false;
    }
    const auto &room = choice.room;
    return !room || m_state.query.admission->group->rank() == 0
        || m_thread.admissionPacer(m_state.query.service)
               .tryAdmit(room->calls, room->engines, m_thread.liveHostCount(), now);
}

WaitingCall ServerSelection::waitingCall() const
{
    const auto &admission = *m_state.query.admission;
    const auto toFirstEvent = admission.timeToFirstEvent(m_thread.servers().meanStep(m_state.query.service));
    const auto &outage = m_thread.serviceOutage(m_state.query.service);
    const bool isOutage = outage.isOut(m_state.startedAt) || outage.isRecovering(m_state.startedAt);
    WaitingCall call;
    call.urgency = admission.group ? admission.group->urgency : Urgency();
    call.inTimeUntil = m_state.startedAt + admission.latencyObjective - toFirstEvent;
    call.servableUntil = m_state.startedAt
        + std::chrono::duration_cast<Microseconds>(admission.firstEventLimit * (isOutage ? 1 : MaxWaitFraction))
        - toFirstEvent;
    call.servableUntil = std::min(call.servableUntil, m_state.deadline - toFirstEvent);
    call.isReturning = m_state.isReturning();
    call.organisation = hash64(m_state.organisation.value());
    return call;
}

bool ServerSelection::shouldWait(const ServerChoice &choice, SteadyTime now) const
{
    const auto &admission = m_state.query.admission;
    if (!admission) {
        return false;
    }
    const auto &servers = m_thread.servers();
    const auto waited = std::chrono::duration_cast<Microseconds>(now - m_state.startedAt);
    if (choice.hasServer()) {
        return m_state.attempts.count() == 0 && admission->shouldWait(servers.currentStep(choice.server, now), waited);
    }
    return choice.reason == ChoiceReason::GroupsClosed && servers.isForming(m_state.query.service, now)
        && waited < admission->firstEventLimit;
}

} // namespace Cardamomhill
