#pragma once

#include "agent/attemptid.h"
#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/loadreport.h"
#include "core/result.h"
#include "drain/agentdrain.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "wire/message.h"

#include <map>
#include <memory>
#include <string>

namespace Cardamomhill
{

class AttemptStream;
class EngineConnections;
class Configuration;
class FramedConnection;
class KeyedExecutions;
class MetricsRegistry;

/// Serves the entry processes on the traffic thread of an agent.
class AgentServer
{
public:
    struct Identity {
        BackendServerId backendServer;
        /// Wall clock at the start of the process, in ms.
        std::uint64_t incarnation = 0;
    };

    AgentServer(asio::io_context &context,
                Identity identity,
                const tcp::endpoint &engine,
                const tcp::endpoint &platform,
                Milliseconds terminationGrace,
                MetricsRegistry &metrics);
    ~AgentServer();

    /// Binds the agent's port. A second agent on the host fails here.
    Result<void, NetError> listen(const tcp::endpoint &endpoint);

    /// Stops accepting new work and notifies every connected entry process.
    void startLeaving();

    /// Call every 20 ms after startLeaving(). Shortly before the process is killed, ends what still runs. Returns
    /// whether the process must exit, on this thread and at once: nothing runs, each connected entry process has all
    /// answers and knows that this agent leaves; or the time is over.
    bool continueLeaving();

    /// Whether requests had to be ended since the time was over.
    bool hasEndedWork() const;

    /// Applies a configuration.
    void apply(const Configuration &configuration);

    /// Number of running requests.
    std::size_t runningCount() const;

    /// The current load, with the next sequence number.
    LoadReport makeLoadReport();

private:
    struct Peer;
    class MessageHandler;

    Task<> acceptLoop();
    Task<> housekeepingLoop();
    void startConnection(tcp::socket socket);
    void handleHello(const std::shared_ptr<FramedConnection> &connection, const Hello &hello);
    void handleMessage(Peer &peer, const Message &message);
    void execute(Peer &peer, const Execute &execute);
    void startEngineCall(Peer &peer, const Execute &execute, const std::shared_ptr<AttemptStream> &stream);
    void resume(Peer &peer, const Resume &resume);
    void acknowledge(Peer &peer, const Acknowledge &acknowledge);
    void cancel(const AttemptId &id);
    /// The heartbeat number is 0 for a report that does not answer a heartbeat.
    void sendLoad(Peer &peer, std::uint64_t heartbeatNumber);
    void sendLeavingNotices();
    void endWork();
    /// Running requests, and answers that a connected entry process has not acknowledged.
    std::size_t unfinishedCount() const;
    void removeFinishedAttempts();
    void cancelDisconnectedAttempts();
    std::shared_ptr<AttemptStream> findAttempt(const AttemptId &id) const;

    asio::io_context &m_context;
    Identity m_identity;
    std::unique_ptr<EngineConnections> m_connections;
    MetricsRegistry &m_metrics;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_housekeepingTimer;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
    std::map<AttemptId, std::shared_ptr<AttemptStream>> m_attempts;
    std::unique_ptr<KeyedExecutions> m_keyed;
    std::size_t m_runningCalls = 0;
    std::uint64_t m_loadSequence = 0;
    std::uint32_t m_capacity = LoadReport::UnknownCapacity;
    AgentDrain m_drain;
    AgentDrain::ConnectionId m_nextConnection = 1;
};

} // namespace Cardamomhill
