#include "agent/agentserver.h"

#include "agent/attemptstream.h"
#include "agent/enginecall.h"
#include "agent/engineconnections.h"
#include "agent/keyedexecutions.h"
#include "config/backendserver.h"
#include "config/configuration.h"
#include "logging/logexception.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/framedconnection.h"
#include "net/listen.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <algorithm>
#include <tuple>

namespace Cardamomhill
{

namespace
{

/// A running attempt whose entry process is disconnected for longer is cancelled.
constexpr Seconds ResumeTimeout{10};
/// How long a finished attempt is kept after a disconnection, since the entry process may request its frames again.
constexpr Seconds FinishedAttemptRetention{30};
constexpr Milliseconds HousekeepingPeriod{500};

} // namespace

/// An entry process and its newest connection.
struct AgentServer::Peer {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t connectionNumber = 0;
    std::shared_ptr<FramedConnection> connection;
    /// Identifies `connection` in the drain.
    AgentDrain::ConnectionId drainId = 0;

    AttemptId attemptId(std::uint64_t attempt) const
    {
        return {name, incarnation, attempt};
    }
};

class AgentServer::MessageHandler
{
public:
    MessageHandler(AgentServer &server, Peer &peer)
        : m_server(server)
        , m_peer(peer)
    {
    }

    void operator()(const Execute &message)
    {
        m_server.execute(m_peer, message);
    }

    void operator()(const Resume &message)
    {
        m_server.resume(m_peer, message);
    }

    void operator()(const Acknowledge &message)
    {
        m_server.acknowledge(m_peer, message);
    }

    void operator()(const Cancel &message)
    {
        m_server.cancel(m_peer.attemptId(message.attempt));
    }

    void operator()(const Heartbeat &message)
    {
        m_server.sendLoad(m_peer, message.number);
    }

    void operator()(const LeavingAcknowledged &)
    {
        m_server.m_drain.onAcknowledged(m_peer.drainId);
    }

    /// Messages that only agents send.
    template<class Other>
    void operator()(const Other &)
    {
        m_peer.connection->close({NetErrorCode::MalformedMessage, "message that only an agent may send"});
    }

private:
    AgentServer &m_server;
    Peer &m_peer;
};

AgentServer::AgentServer(asio::io_context &context,
                         Identity identity,
                         const tcp::endpoint &engine,
                         const tcp::endpoint &platform,
                         Milliseconds terminationGrace,
                         MetricsRegistry &metrics)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_connections(std::make_unique<EngineConnections>(context, engine))
    , m_metrics(metrics)
    , m_acceptor(context)
    , m_housekeepingTimer(context)
    , m_keyed(std::make_unique<KeyedExecutions>(context, m_identity.backendServer, engine, platform, metrics))
    , m_drain(terminationGrace)
{
}

AgentServer::~AgentServer() = default;

Result<void, NetError> AgentServer::listen(const tcp::endpoint &endpoint)
{
    BOOST_OUTCOME_TRY(openListener(m_acceptor, endpoint, false));
    spawn(m_context.get_executor(), "agent-accept", acceptLoop());
    spawn(m_context.get_executor(), "agent-housekeeping", housekeepingLoop());
    m_keyed->start();
    return success();
}

Task<> AgentServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        SystemError error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, storeError(error));
        if (!error) {
            startConnection(std::move(socket));
        }
    }
}

void AgentServer::startConnection(tcp::socket socket)
{
    const auto connection = std::make_shared<FramedConnection>(std::move(socket));
    const std::weak_ptr<FramedConnection> weak = connection;
    connection->start(
        [this, weak](const Message &message) {
            const auto self = weak.lock();
            if (const auto *hello = std::get_if<Hello>(&message)) {
                handleHello(self, *hello);
            } else {
                self->close({NetErrorCode::MalformedMessage, "first message is not Hello"});
            }
        },
        [](const NetError &) {});
}

void AgentServer::handleHello(const std::shared_ptr<FramedConnection> &connection, const Hello &hello)
{
    auto &peer = m_peers[hello.peer];
    if (!peer) {
        peer = std::make_unique<Peer>();
        peer->name = hello.peer;
    }
    const bool isNewer
        = std::tie(hello.incarnation, hello.connection) > std::tie(peer->incarnation, peer->connectionNumber);
    if (!isNewer) {
        connection->close({NetErrorCode::Closed, "superseded by a newer connection of the same peer"});
        return;
    }
    if (peer->connection) {
        peer->connection->close({NetErrorCode::Closed, "superseded by a newer connection of the same peer"});
    }
    peer->incarnation = hello.incarnation;
    peer->connectionNumber = hello.connection;
    peer->connection = connection;
    peer->drainId = m_nextConnection++;
    connection->setHandlers(
        [this, current = peer.get()](const Message &message) { handleMessage(*current, message); },
        [this, name = hello.peer, drainId = peer->drainId](const NetError &error) {
            m_drain.onDisconnected(drainId);
            logEvent(LogLevel::Info, "entry-connection-closed", {{"peer", name}, {"reason", error.message()}});
        });
    connection->send(HelloReply{m_identity.backendServer.value(), m_identity.incarnation, m_drain.isLeaving()});
    m_drain.onConnected(peer->drainId, steadyNow());
    sendLeavingNotices();
}

void AgentServer::handleMessage(Peer &peer, const Message &message)
{
    std::visit(MessageHandler(*this, peer), message);
}

void AgentServer::execute(Peer &peer, const Execute &execute)
{
    const auto id = peer.attemptId(execute.attempt);
    if (findAttempt(id)) {
        // A duplicate: the entry process requests a known attempt only with Resume.
        return;
    }
    if (!m_drain.acceptsNewWork() && execute.idempotencyKey.empty()) {
        peer.connection->send(AttemptEnded{execute.attempt, AttemptOutcome::NotRun, AttemptReason::Leaving, 0});
        return;
    }
    const auto stream
        = std::make_shared<AttemptStream>(m_context, execute.attempt, steadyNow() + Milliseconds(execute.remainingMs));
    stream->attach(peer.connection);
    m_attempts[id] = stream;
    logEvent(LogLevel::Info,
             "attempt-started",
             {{"request", execute.request},
              {"attempt", execute.attempt},
              {"peer", peer.name},
              {"service", execute.service},
              {"organisation", execute.organisation}});
    if (execute.idempotencyKey.empty()) {
        startEngineCall(peer, execute, stream);
    } else {
        m_keyed->execute(execute, stream);
    }
}

void AgentServer::startEngineCall(Peer &peer, const Execute &execute, const std::shared_ptr<AttemptStream> &stream)
{
    ++m_runningCalls;
    const auto call = std::make_shared<EngineCall>(*m_connections, execute, stream);
    const auto onEnd = [this, &peer, call, stream, request = execute.request](const std::exception_ptr &exception) {
        logException("attempt", exception);
        --m_runningCalls;
        m_metrics.counter("attempts_total{state=\"" + std::string(nameOf(stream->state())) + "\"}").add();
        logEvent(LogLevel::Info, "attempt-ended", {{"request", request}, {"state", nameOf(stream->state())}});
        sendLoad(peer, 0);
    };
    asio::co_spawn(m_context, call->run(), onEnd);
    // The delay of a load report is known only if it comes directly with a reply, see docs/routing.md.
    sendLoad(peer, 0);
}

void AgentServer::resume(Peer &peer, const Resume &resume)
{
    const auto attempt = findAttempt(peer.attemptId(resume.attempt));
    if (!attempt) {
        peer.connection->send(
            AttemptEnded{resume.attempt, AttemptOutcome::Rejected, AttemptReason::AttemptNotKnown, 0});
        return;
    }
    m_metrics.counter("attempts_resumed_total").add();
    attempt->resume(peer.connection, resume.nextSequence);
}

void AgentServer::acknowledge(Peer &peer, const Acknowledge &acknowledge)
{
    const auto id = peer.attemptId(acknowledge.attempt);
    const auto attempt = findAttempt(id);
    if (!attempt) {
        return;
    }
    attempt->acknowledge(acknowledge.nextSequence);
    if (attempt->isRemovable()) {
        m_attempts.erase(id);
    }
}

void AgentServer::cancel(const AttemptId &id)
{
    const auto attempt = findAttempt(id);
    if (!attempt) {
        return;
    }
    // Engine steps whose result nobody receives cost the operating company money.
    m_metrics.counter("wasted_frames_total").add(attempt->unacknowledgedFrames());
    attempt->cancel();
    m_attempts.erase(id);
}

void AgentServer::sendLoad(Peer &peer, std::uint64_t heartbeatNumber)
{
    const auto report = makeLoadReport();
    peer.connection->send(
        HeartbeatReply{heartbeatNumber, report.sequence, report.running, report.queued, report.capacity});
}

LoadReport AgentServer::makeLoadReport()
{
    return {++m_loadSequence, static_cast<std::uint32_t>(runningCount()), 0, m_drain.isLeaving() ? 0 : m_capacity};
}

void AgentServer::startLeaving()
{
    m_drain.onTerminate(steadyNow());
    m_keyed->leave();
    logEvent(LogLevel::Info, "leaving", {{"running", runningCount()}});
    sendLeavingNotices();
}

bool AgentServer::continueLeaving()
{
    m_drain.onTick(steadyNow());
    sendLeavingNotices();
    if (m_drain.mustEndWork()) {
        endWork();
    }
    m_drain.onRunningCount(unfinishedCount(), true);
    return m_drain.shouldExit();
}

bool AgentServer::hasEndedWork() const
{
    return m_drain.mustEndWork();
}

void AgentServer::sendLeavingNotices()
{
    for (const auto id : m_drain.takeNotices()) {
        for (const auto &[name, peer] : m_peers) {
            if (peer->drainId == id) {
                peer->connection->send(LeavingNotice{m_identity.incarnation});
            }
        }
    }
}

void AgentServer::endWork()
{
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->state() == AttemptState::Running) {
            m_metrics.counter("attempts_ended_early_total").add();
            logEvent(LogLevel::Warning, "ended-early", {{"peer", id.peer}, {"attempt", id.attempt}});
            attempt->endEarly();
        }
    }
}

std::size_t AgentServer::unfinishedCount() const
{
    const auto unacknowledged = std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &entry) {
        const auto &attempt = *entry.second;
        return attempt.state() != AttemptState::Running && !attempt.isRemovable() && !attempt.disconnectedSince();
    });
    return runningCount() + static_cast<std::size_t>(unacknowledged);
}

void AgentServer::apply(const Configuration &configuration)
{
    const auto *self = configuration.backendServer(m_identity.backendServer);
    m_capacity = self == nullptr ? LoadReport::UnknownCapacity : self->capacity;
    m_keyed->apply(configuration);
}

std::size_t AgentServer::runningCount() const
{
    return m_runningCalls + m_keyed->runningCount();
}

Task<> AgentServer::housekeepingLoop()
{
    SystemError error;
    while (!error) {
        m_housekeepingTimer.expires_after(HousekeepingPeriod);
        co_await m_housekeepingTimer.async_wait(storeError(error));
        removeFinishedAttempts();
        cancelDisconnectedAttempts();
    }
}

void AgentServer::removeFinishedAttempts()
{
    std::erase_if(m_attempts, [](const auto &entry) {
        const auto &attempt = *entry.second;
        if (attempt.state() == AttemptState::Running) {
            return false;
        }
        const auto disconnectedSince = attempt.disconnectedSince();
        return attempt.isRemovable()
            || (disconnectedSince && steadyNow() - *disconnectedSince > FinishedAttemptRetention);
    });
}

void AgentServer::cancelDisconnectedAttempts()
{
    for (const auto &[id, attempt] : m_attempts) {
        const auto disconnectedSince = attempt->disconnectedSince();
        if (attempt->state() == AttemptState::Running && disconnectedSince
            && steadyNow() - *disconnectedSince > ResumeTimeout) {
            m_metrics.counter("wasted_frames_total").add(attempt->unacknowledgedFrames());
            attempt->cancel();
        }
    }
}

std::shared_ptr<AttemptStream> AgentServer::findAttempt(const AttemptId &id) const
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second;
}

} // namespace Cardamomhill
