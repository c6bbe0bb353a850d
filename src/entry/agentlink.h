#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/loadreport.h"
#include "core/memberstate.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "net/notification.h"
#include "stream/streamreceiver.h"
#include "wire/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Cardamomhill
{

class AttemptChannel;
class FramedConnection;
struct AttemptFailed;

/// One traffic thread's connection to the agent of one backend server. When the connection breaks or becomes
/// unresponsive, its attempts are resumed over a new one.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    struct Identity {
        /// Name of this link, unique over all links of all entry processes.
        std::string peer;
        std::uint64_t incarnation = 0;
    };

    struct Observers {
        /// Called with the incarnation of the agent and the load of its backend server.
        std::function<void(std::uint64_t, const LoadReport &)> onLoad;
        /// Called with the incarnation of the agent and its state: Live after a HelloReply, Leaving when the agent
        /// accepts no new attempts.
        std::function<void(std::uint64_t, MemberState)> onState;
    };

    AgentLink(asio::io_context &context, Identity identity, tcp::endpoint endpoint, Observers observers);
    ~AgentLink();

    void start();

    /// Closes the connection once no attempt is outstanding.
    void retire();

    /// Sends an attempt as soon as there is a connection.
    std::shared_ptr<AttemptChannel> execute(Execute execute);

    /// Acknowledges the frames delivered so far to the agent, which may then drop its copies.
    void acknowledge(std::uint64_t attempt);

    /// Drops an attempt. One that is still running is cancelled at the agent. Returns whether the agent may have
    /// received it.
    bool release(std::uint64_t attempt);

private:
    struct OutstandingAttempt;
    class MessageHandler;

    static Task<> runShared(std::shared_ptr<AgentLink> self);
    Task<> run();
    Task<std::shared_ptr<FramedConnection>> connect();
    Task<bool> exchangeHello(const std::shared_ptr<FramedConnection> &connection);
    Task<> sendHeartbeats(const std::shared_ptr<FramedConnection> &connection);
    Task<> sleepUntil(SteadyTime time, const std::shared_ptr<FramedConnection> &connection);
    void handleHelloReply(const HelloReply &reply);
    void handleFrame(StreamFrame frame);
    void handleAttemptEnded(const AttemptEnded &ended);
    void sendOrResumeOutstanding();
    void send(OutstandingAttempt &outstanding);
    void failAttempt(std::uint64_t attempt, const AttemptFailed &failed);
    void failAll(bool agentHasExited);
    void failUnsentOlderThan(Milliseconds age);

    asio::io_context &m_context;
    Identity m_identity;
    tcp::endpoint m_endpoint;
    Observers m_observers;
    Notification m_notification;
    std::shared_ptr<FramedConnection> m_connection;
    std::optional<HelloReply> m_helloReply;
    std::map<std::uint64_t, std::unique_ptr<OutstandingAttempt>> m_outstanding;
    std::uint64_t m_connectionNumber = 0;
    std::uint64_t m_heartbeatNumber = 0;
    std::uint64_t m_agentIncarnation = 0;
    bool m_isRetired = false;
};

} // namespace Cardamomhill
