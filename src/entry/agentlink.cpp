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
/// A connection with outstanding attempts on which nothing is received for this long is closed as unresponsive.
constexpr Milliseconds UnresponsiveTimeout{2000};
/// How long an attempt waits to be sent; after that it fails, so that the request can try another server.
constexpr Milliseconds UnsentTimeout{1000};
constexpr Milliseconds ReconnectDelay{100};
/// The longest wait for m_notification, which is notified earlier when there is something to do.
constexpr Milliseconds IdleWait{3'600'000};
/// Acknowledges all frames of an attempt that will get no more.
constexpr std::uint64_t AllFrames = std::numeric_limits<std::uint64_t>::max();

} // namespace

struct AgentLink::OutstandingAttempt {
    OutstandingAttempt(asio::io_context &context, Execute request)
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
        m_link.handleHelloReply(reply);
    }

    void operator()(StreamFrame &frame)
    {
        m_link.handleFrame(std::move(frame));
    }

    void operator()(const AttemptEnded &ended)
    {
        m_link.handleAttemptEnded(ended);
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
        m_link.m_connection->close({NetErrorCode::MalformedMessage, "message that only entry processes send"});
    }

private:
    AgentLink &m_link;
};

AgentLink::AgentLink(asio::io_context &context, Identity identity, tcp::endpoint endpoint, Observers observers)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_endpoint(std::move(endpoint))
    , m_observers(std::move(observers))
    , m_notification(context)
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
    m_notification.notify();
}

std::shared_ptr<AttemptChannel> AgentLink::execute(Execute execute)
{
    const auto attempt = execute.attempt;
    auto outstanding = std::make_unique<OutstandingAttempt>(m_context, std::move(execute));
    auto channel = outstanding->channel;
    auto &stored = *m_outstanding.emplace(attempt, std::move(outstanding)).first->second;
    if (m_helloReply) {
        send(stored);
    }
    m_notification.notify();
    return channel;
}

void AgentLink::acknowledge(std::uint64_t attempt)
{
    const auto found = m_outstanding.find(attempt);
    if (found != m_outstanding.end() && m_helloReply) {
        m_connection->send(Acknowledge{attempt, found->second->receiver.nextSequence()});
    }
}

bool AgentLink::release(std::uint64_t attempt)
{
    const auto found = m_outstanding.find(attempt);
    if (found == m_outstanding.end()) {
        return true;
    }
    const bool wasSent = found->second->isSent;
    if (m_helloReply && wasSent) {
        if (found->second->isFinal) {
            m_connection->send(Acknowledge{attempt, AllFrames});
        } else {
            m_connection->send(Cancel{attempt});
        }
    }
    m_outstanding.erase(found);
    return wasSent;
}

Task<> AgentLink::run()
{
    while (!m_isRetired || !m_outstanding.empty()) {
        if (m_outstanding.empty()) {
            co_await m_notification.waitUntil(steadyNow() + IdleWait);
            continue;
        }
        const auto connection = co_await connect();
        bool isHelloAnswered = false;
        if (connection) {
            isHelloAnswered = co_await exchangeHello(connection);
        }
        if (isHelloAnswered) {
            co_await sendHeartbeats(connection);
        }
        m_helloReply.reset();
        m_connection.reset();
        failUnsentOlderThan(UnsentTimeout);
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
        // No process listens there, so the one that ran the attempts has ended.
        failAll(true);
    }
    co_return nullptr;
}

Task<bool> AgentLink::exchangeHello(const std::shared_ptr<FramedConnection> &connection)
{
    m_connection = connection;
    connection->start([this](Message message) { std::visit(MessageHandler(*this), message); },
                      [this](const NetError &error) {
                          logEvent(LogLevel::Warning, "agent-connection-closed", {{"error", error.message()}});
                          m_notification.notify();
                      });
    connection->send(Hello{m_identity.peer, m_identity.incarnation, ++m_connectionNumber});
    const auto deadline = steadyNow() + HelloTimeout;
    while (!m_helloReply && connection->isOpen() && steadyNow() < deadline) {
        co_await m_notification.waitUntil(deadline);
    }
    if (!m_helloReply) {
        connection->close({NetErrorCode::Unresponsive, "no reply to Hello before the timeout"});
    }
    co_return m_helloReply.has_value();
}

Task<> AgentLink::sendHeartbeats(const std::shared_ptr<FramedConnection> &connection)
{
    std::optional<SteadyTime> outstandingSince;
    while (connection->isOpen() && !(m_isRetired && m_outstanding.empty())) {
        if (m_outstanding.empty()) {
            outstandingSince.reset();
            co_await m_notification.waitUntil(steadyNow() + IdleWait);
            continue;
        }
        const auto now = steadyNow();
        outstandingSince = outstandingSince.value_or(now);
        if (now - std::max(*outstandingSince, connection->lastReceiveTime()) > UnresponsiveTimeout) {
            connection->close({NetErrorCode::Unresponsive, "nothing received before the heartbeat timeout"});
            break;
        }
        connection->send(Heartbeat{++m_heartbeatNumber});
        co_await sleepUntil(now + HeartbeatPeriod, connection);
    }
    connection->close({NetErrorCode::Closed, "link retired"});
}

Task<> AgentLink::sleepUntil(SteadyTime time, const std::shared_ptr<FramedConnection> &connection)
{
    // New attempts also notify m_notification; they must not cause an earlier heartbeat.
    while (connection->isOpen() && steadyNow() < time) {
        co_await m_notification.waitUntil(time);
    }
}

void AgentLink::handleHelloReply(const HelloReply &reply)
{
    if (m_agentIncarnation != 0 && m_agentIncarnation != reply.incarnation) {
        // The agent was restarted, so the attempts that were sent to the earlier process are lost.
        failAll(false);
    }
    m_agentIncarnation = reply.incarnation;
    m_helloReply = reply;
    m_observers.onState(reply.incarnation, reply.leaving ? MemberState::Leaving : MemberState::Live);
    sendOrResumeOutstanding();
    m_notification.notify();
}

void AgentLink::sendOrResumeOutstanding()
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

void AgentLink::send(OutstandingAttempt &outstanding)
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
        failAttempt(attempt, {AttemptOutcome::Unknown, AttemptReason::EngineFailed, 0});
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

void AgentLink::handleAttemptEnded(const AttemptEnded &ended)
{
    const auto found = m_outstanding.find(ended.attempt);
    if (found == m_outstanding.end()) {
        return;
    }
    if (ended.reason == AttemptReason::AttemptNotKnown) {
        // This is the same agent process and it has closed the earlier connection, so the attempt was not received and
        // no copy of it can be received later. It is safe to send it again.
        send(*found->second);
        return;
    }
    failAttempt(ended.attempt, {ended.outcome, ended.reason, ended.retryAfterMs});
}

void AgentLink::failAttempt(std::uint64_t attempt, const AttemptFailed &failed)
{
    auto &outstanding = *m_outstanding.at(attempt);
    outstanding.isFinal = true;
    outstanding.channel->push(failed);
}

void AgentLink::failAll(bool agentHasExited)
{
    for (auto &[attempt, outstanding] : m_outstanding) {
        if (outstanding->isFinal) {
            continue;
        }
        if (outstanding->isSent) {
            failAttempt(attempt, {AttemptOutcome::Unknown, AttemptReason::AttemptNotKnown, 0});
        } else if (agentHasExited) {
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
