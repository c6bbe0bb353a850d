#include "gateway/serverselection.h"

#include "core/hash.h"
#include "gateway/callstate.h"
#include "gateway/gatewaythread.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

/// Fraction of the time that a caller waits for a first event after which a call without room is refused. The caller
/// returns later, and when a service works again, all hosts fill its engines at once, so that the first events are
/// late.
constexpr double MaxWaitFraction = 0.6;
/// How often a call that waits looks whether it can be sent.
constexpr Milliseconds QueueCheckPeriod{10};

ServerChoice withoutServer(ChoiceReason reason)
{
    ServerChoice choice;
    choice.reason = reason;
    return choice;
}

} // namespace

/// The place of a call in the queue of its service while it waits.
class ServerSelection::QueuePlace
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

ServerSelection::ServerSelection(GatewayThread &thread, const CallState &state)
    : m_thread(thread)
    , m_state(state)
{
}

Task<ServerChoice> ServerSelection::choose()
{
    if (isQueued(steadyNow())) {
        co_return co_await chooseInOrder();
    }
    asio::steady_timer timer(m_thread.context());
    SystemError error;
    while (true) {
        const auto now = steadyNow();
        auto choice = isStopped(now) ? probe(true, now) : chooseNow(now);
        if (error || m_state.isCallerGone || m_state.isEndedEarly || !shouldWait(choice, now)) {
            co_return choice;
        }
        timer.expires_after(QueueCheckPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

bool ServerSelection::isQueued(SteadyTime now) const
{
    const auto &admission = m_state.query.admission;
    if (!admission || admission->group) {
        return admission.has_value();
    }
    return outage().isEnabled() && m_state.attempts.count() == 0 && (m_state.isReturning() || outage().isOut(now));
}

ServiceOutage &ServerSelection::outage() const
{
    return m_thread.serviceOutage(m_state.query.service);
}

ServerChoice ServerSelection::chooseNow(SteadyTime now)
{
    auto choice = m_thread.servers().choose(m_state.query, now, m_thread.random());
    const bool isForming = m_thread.servers().isForming(m_state.query.service, now);
    if (m_state.query.admission && choice.reason == ChoiceReason::GroupsClosed && !isForming) {
        outage().recordFailure(now);
    }
    return choice;
}

ServerChoice ServerSelection::probe(bool isLastChance, SteadyTime now)
{
    // An engine that has stopped holds the call for a while. A caller that has come back would then be lost, and so
    // would one that has waited before.
    const bool hasJustArrived = now - m_state.startedAt < QueueCheckPeriod;
    const bool mayProbe = m_state.isReturning() ? isLastChance : hasJustArrived;
    return mayProbe && outage().tryProbe(now) ? chooseNow(now) : withoutServer(ChoiceReason::ServiceStopped);
}

bool ServerSelection::isStopped(SteadyTime now) const
{
    // A call that was sent before may be continued where its first server has failed, so it is not held back.
    return m_state.query.admission && m_state.attempts.count() == 0 && outage().isOut(now)
        && !m_thread.servers().isForming(m_state.query.service, now);
}

Task<ServerChoice> ServerSelection::chooseInOrder()
{
    const auto waiting = waitingCall();
    const auto waitLimit = CallQueue::waitLimit(waiting);
    const QueuePlace place(m_thread.callQueue(m_state.query.service), waiting);
    asio::steady_timer timer(m_thread.context());
    SystemError error;
    while (true) {
        const auto now = steadyNow();
        const bool isLastChance = now + QueueCheckPeriod >= waitLimit;
        auto choice = chooseInTurn(place, isLastChance, now);
        if (error || m_state.isCallerGone || m_state.isEndedEarly) {
            co_return choice;
        }
        if (choice.hasServer()) {
            place.recordSent(now);
            co_return choice;
        }
        // No call was sent lately, while the service had stopped and its groups were formed again.
        const bool isUnknownRate = outage().isOut(now) || outage().isRecovering(now);
        const auto wholeWait = std::chrono::duration_cast<Microseconds>(waitLimit - m_state.startedAt);
        if (now >= waitLimit || !mayGetRoom(choice, wholeWait, now) || !(isUnknownRate || place.canBeServed(now))) {
            co_return choice;
        }
        timer.expires_after(QueueCheckPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

ServerChoice ServerSelection::chooseInTurn(const QueuePlace &place, bool isLastChance, SteadyTime now)
{
    // Calls that wait for the end of an outage do not keep others from finding out whether it is over.
    const bool isOut = isStopped(now);
    if (!isOut && !place.isNext(now)) {
        return withoutServer(ChoiceReason::AllFull);
    }
    auto choice = isOut ? probe(isLastChance, now) : chooseNow(now);
    return !choice.hasServer() || isAdmitted(choice, now) ? choice : withoutServer(ChoiceReason::AllFull);
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
        return outage().isWorthWaiting(wholeWait, now);
    default:
        return false;
    }
}

bool ServerSelection::isAdmitted(const ServerChoice &choice, SteadyTime now)
{
    if (shouldWait(choice, now)) {
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
    const bool isOutage = outage().isOut(m_state.startedAt) || outage().isRecovering(m_state.startedAt);
    const bool isLastCall = isOutage && m_state.isReturning();
    WaitingCall call;
    call.urgency = admission.group ? admission.group->urgency : Urgency();
    call.inTimeUntil = m_state.startedAt + admission.latencyObjective - toFirstEvent;
    call.servableUntil = m_state.startedAt
        + std::chrono::duration_cast<Microseconds>(admission.firstEventLimit * (isLastCall ? 1 : MaxWaitFraction))
        - toFirstEvent;
    call.servableUntil = std::min(call.servableUntil, m_state.deadline - toFirstEvent);
    call.waitsWhenLate = m_state.isReturning() || isOutage;
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
