#include "entry/agentlink.h"

#include "entry/attemptchannel.h"
#include "logging/logging.h"
#include "net/framedconnection.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <limits>
#include <vector>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ConnectTimeout{1000};
constexpr Milliseconds HelloTimeout{1000};
constexpr Milliseconds HeartbeatPeriod{500};
/// A connection with work outstanding that brings nothing for this long is taken as silent for good.
constexpr Milliseconds SilenceLimit{2000};
/// How long an attempt waits for a first connection before the request looks elsewhere.
constexpr Milliseconds UnsentLimit{1000};
constexpr Milliseconds ReconnectDelay{100};
constexpr Milliseconds IdleWait{3'600'000};
/// Acknowledges everything, for an attempt that has no further frames.
constexpr std::uint64_t AllFrames = std::numeric_limits<std::uint64_t>::max();

} // namespace

struct AgentLink::Outstanding {
    Outstanding(asio::io_context &context, Execute request)
        : execute(std::move(request))
        , receiver(execute.attempt)
        , channel(std::make_shared<AttemptChannel>(context))
        , queuedAt(steadyNow())
    {
    }

    Execute execute;
    StreamReceiver receiver;
    std::shared_ptr<AttemptChannel> channel;
    SteadyTime queuedAt;
    bool isSent = false;
    bool isFinal = false;
};

class AgentLink::MessageHandler
{
public:
    explicit MessageHandler(AgentLink &link)
        : m_link(link)
    {
    }

    void operator()(const HelloReply &reply)
    {
        m_link.handleReply(reply);
    }

    void operator()(StreamFrame &frame)
    {
        m_link.handleFrame(std::move(frame));
    }

    void operator()(const AttemptEnded &ended)
    {
        m_link.handleEnd(ended);
    }

    void operator()(const HeartbeatReply &reply)
    {
        m_link.m_observers.onLoad(m_link.m_agentIncarnation,
                                  {reply.loadSequence, reply.running, reply.queued, reply.capacity});
    }

    void operator()(const LeavingNotice &notice)
    {
        m_link.m_connection->send(LeavingAcknowledged{notice.incarnation});
        m_link.m_observers.onState(notice.incarnation, MemberState::Leaving);
    }

    /// Messages that only entry processes send.
    template<class Other>
    void operator()(const Other &)
    {
        m_link.m_connection->close({NetErrorCode::MalformedMessage, "message of the wrong direction"});
    }

private:
    AgentLink &m_link;
};

AgentLink::AgentLink(asio::io_context &context, Identity identity, tcp::endpoint endpoint, Observers observers)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_endpoint(std::move(endpoint))
    , m_observers(std::move(observers))
    , m_wakeup(context)
{
}

AgentLink::~AgentLink() = default;

void AgentLink::start()
{
    spawn(m_context.get_executor(), "agent-link", runShared(shared_from_this()));
}

Task<> AgentLink::runShared(std::shared_ptr<AgentLink> self)
{
    co_await self->run();
}

void AgentLink::retire()
{
    m_isRetired = true;
    m_wakeup.notify();
}

std::shared_ptr<AttemptChannel> AgentLink::execute(Execute execute)
{
    const auto attempt = execute.attempt;
    auto outstanding = std::make_unique<Outstanding>(m_context, std::move(execute));
    auto channel = outstanding->channel;
    auto &stored = *m_outstanding.emplace(attempt, std::move(outstanding)).first->second;
    if (m_reply) {
        send(stored);
    }
    m_wakeup.notify();
    return channel;
}

void AgentLink::acknowledge(std::uint64_t attempt)
{
    const auto found = m_outstanding.find(attempt);
    if (found != m_outstanding.end() && m_reply) {
        m_connection->send(Acknowledge{attempt, found->second->receiver.nextSequence()});
    }
}

void AgentLink::release(std::uint64_t attempt)
{
    const auto found = m_outstanding.find(attempt);
    if (found == m_outstanding.end()) {
        return;
    }
    if (m_reply && found->second->isSent) {
        if (found->second->isFinal) {
            m_connection->send(Acknowledge{attempt, AllFrames});
        } else {
            m_connection->send(Cancel{attempt});
        }
    }
    m_outstanding.erase(found);
}

Task<> AgentLink::run()
{
    while (!m_isRetired || !m_outstanding.empty()) {
        if (m_outstanding.empty()) {
            co_await m_wakeup.waitUntil(steadyNow() + IdleWait);
            continue;
        }
        const auto connection = co_await connect();
        bool isGreeted = false;
        if (connection) {
            isGreeted = co_await greet(connection);
        }
        if (isGreeted) {
            co_await supervise(connection);
        }
        m_reply.reset();
        m_connection.reset();
        failUnsentOlderThan(UnsentLimit);
        asio::steady_timer timer(m_context, ReconnectDelay);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }
}

Task<std::shared_ptr<FramedConnection>> AgentLink::connect()
{
    tcp::socket socket(m_context);
    asio::steady_timer timer(m_context, ConnectTimeout);
    timer.async_wait([&socket](SystemError error) {
        if (!error) {
            SystemError ignored;
            socket.close(ignored);
        }
    });
    SystemError error;
    co_await socket.async_connect(m_endpoint, storeError(error));
    timer.cancel();
    if (!error && socket.is_open()) {
        co_return std::make_shared<FramedConnection>(std::move(socket));
    }
    logEvent(LogLevel::Warning, "agent-connect-failed", {{"error", error.message()}});
    if (error == asio::error::connection_refused) {
        // Nothing listens there, so the process that held the attempts has ended.
        failAll(true);
    }
    co_return nullptr;
}

Task<bool> AgentLink::greet(const std::shared_ptr<FramedConnection> &connection)
{
    m_connection = connection;
    connection->start([this](Message message) { std::visit(MessageHandler(*this), message); },
                      [this](const NetError &error) {
                          logEvent(LogLevel::Warning, "agent-connection-closed", {{"error", error.message()}});
                          m_wakeup.notify();
                      });
    connection->send(Hello{m_identity.peer, m_identity.incarnation, ++m_connectionNumber});
    const auto deadline = steadyNow() + HelloTimeout;
    while (!m_reply && connection->isOpen() && steadyNow() < deadline) {
        co_await m_wakeup.waitUntil(deadline);
    }
    if (!m_reply) {
        connection->close({NetErrorCode::Silent, "no answer to Hello"});
    }
    co_return m_reply.has_value();
}

Task<> AgentLink::supervise(const std::shared_ptr<FramedConnection> &connection)
{
    std::optional<SteadyTime> outstandingSince;
    while (connection->isOpen() && !(m_isRetired && m_outstanding.empty())) {
        if (m_outstanding.empty()) {
            outstandingSince.reset();
            co_await m_wakeup.waitUntil(steadyNow() + IdleWait);
            continue;
        }
        const auto now = steadyNow();
        outstandingSince = outstandingSince.value_or(now);
        if (now - std::max(*outstandingSince, connection->lastReceived()) > SilenceLimit) {
            connection->close({NetErrorCode::Silent, "no heartbeat reply"});
            break;
        }
        connection->send(Heartbeat{++m_heartbeatNumber});
        co_await sleepUntil(now + HeartbeatPeriod, connection);
    }
    connection->close({NetErrorCode::Closed, "link retired"});
}

Task<> AgentLink::sleepUntil(SteadyTime time, const std::shared_ptr<FramedConnection> &connection)
{
    // New attempts also notify the wakeup; they need no earlier heartbeat.
    while (connection->isOpen() && steadyNow() < time) {
        co_await m_wakeup.waitUntil(time);
    }
}

void AgentLink::handleReply(const HelloReply &reply)
{
    if (m_agentIncarnation != 0 && m_agentIncarnation != reply.incarnation) {
        // Another process answers, so the attempts that were sent to the earlier one are lost.
        failAll(false);
    }
    m_agentIncarnation = reply.incarnation;
    m_reply = reply;
    m_observers.onState(reply.incarnation, reply.leaving ? MemberState::Leaving : MemberState::Live);
    sendOutstanding();
    m_wakeup.notify();
}

void AgentLink::sendOutstanding()
{
    for (auto &[attempt, outstanding] : m_outstanding) {
        if (outstanding->isFinal) {
            continue;
        }
        if (outstanding->isSent) {
            m_connection->send(Resume{attempt, outstanding->receiver.nextSequence()});
        } else {
            send(*outstanding);
        }
    }
}

void AgentLink::send(Outstanding &outstanding)
{
    outstanding.isSent = true;
    m_connection->send(outstanding.execute);
}

void AgentLink::handleFrame(StreamFrame frame)
{
    const auto attempt = frame.attempt;
    const auto found = m_outstanding.find(attempt);
    if (found == m_outstanding.end() || found->second->isFinal) {
        return;
    }
    auto &outstanding = *found->second;
    auto effect = outstanding.receiver.receive(std::move(frame));
    if (effect.has_error()) {
        logEvent(LogLevel::Warning,
                 "answer-broken",
                 {{"request", outstanding.execute.request}, {"error", effect.error().message()}});
        finish(attempt, {AttemptOutcome::Unknown, AttemptReason::EngineFailed, 0});
        return;
    }
    if (auto *payload = std::get_if<DeliverPayload>(&effect.value())) {
        outstanding.channel->push(std::move(*payload));
    } else if (const auto *gap = std::get_if<GapFound>(&effect.value())) {
        if (!gap->alreadyReported) {
            m_connection->send(Resume{attempt, gap->resumeFrom});
        }
    } else if (std::holds_alternative<AnswerComplete>(effect.value())) {
        outstanding.isFinal = true;
        outstanding.channel->push(AnswerComplete());
    }
}

void AgentLink::handleEnd(const AttemptEnded &ended)
{
    const auto found = m_outstanding.find(ended.attempt);
    if (found == m_outstanding.end()) {
        return;
    }
    if (ended.reason == AttemptReason::AttemptNotKnown) {
        // The same process answers and has closed the earlier connection, so the attempt never arrived and no copy of
        // it can arrive later. It is sent again.
        send(*found->second);
        return;
    }
    finish(ended.attempt, {ended.outcome, ended.reason, ended.retryAfterMs});
}

void AgentLink::finish(std::uint64_t attempt, const AttemptFailed &failed)
{
    auto &outstanding = *m_outstanding.at(attempt);
    outstanding.isFinal = true;
    outstanding.channel->push(failed);
}

void AgentLink::failAll(bool agentIsGone)
{
    for (auto &[attempt, outstanding] : m_outstanding) {
        if (outstanding->isFinal) {
            continue;
        }
        if (outstanding->isSent) {
            finish(attempt, {AttemptOutcome::Unknown, AttemptReason::AttemptNotKnown, 0});
        } else if (agentIsGone) {
            outstanding->isFinal = true;
            outstanding->channel->push(AttemptNotSent());
        }
    }
}

void AgentLink::failUnsentOlderThan(Milliseconds age)
{
    for (auto &[attempt, outstanding] : m_outstanding) {
        if (!outstanding->isSent && !outstanding->isFinal && steadyNow() - outstanding->queuedAt > age) {
            outstanding->isFinal = true;
            outstanding->channel->push(AttemptNotSent());
        }
    }
}

} // namespace Cardamomhill
