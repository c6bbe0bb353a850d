#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/loadreport.h"
#include "core/memberstate.h"
#include "net/asio.h"
#include "net/neterror.h"
#include "net/wakeup.h"
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

/// One traffic thread's connection to the agent of one backend server. Attempts outlive the connection: they are
/// resumed over a new one when it breaks or goes silent.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    struct Identity {
        /// Name of this link, unique over all links of all entry processes.
        std::string peer;
        std::uint64_t incarnation = 0;
    };

    struct Observers {
        /// The load of the backend server, with the incarnation of its agent.
        std::function<void(std::uint64_t, const LoadReport &)> onLoad;
        /// Live after a greeting, Leaving when the agent takes no new work.
        std::function<void(std::uint64_t, MemberState)> onState;
    };

    AgentLink(asio::io_context &context, Identity identity, tcp::endpoint endpoint, Observers observers);
    ~AgentLink();

    void start();

    /// Ends the link once no attempt is outstanding.
    void retire();

    /// Sends an attempt, as soon as a connection stands.
    std::shared_ptr<AttemptChannel> execute(Execute execute);

    /// Says that the caller has the frames that were delivered so far.
    void acknowledge(std::uint64_t attempt);

    /// Forgets an attempt. A running one is cancelled at the agent.
    void release(std::uint64_t attempt);

private:
    struct Outstanding;
    class MessageHandler;

    static Task<> runShared(std::shared_ptr<AgentLink> self);
    Task<> run();
    Task<std::shared_ptr<FramedConnection>> connect();
    Task<bool> greet(const std::shared_ptr<FramedConnection> &connection);
    Task<> supervise(const std::shared_ptr<FramedConnection> &connection);
    Task<> sleepUntil(SteadyTime time, const std::shared_ptr<FramedConnection> &connection);
    void handleReply(const HelloReply &reply);
    void handleFrame(StreamFrame frame);
    void handleEnd(const AttemptEnded &ended);
    void sendOutstanding();
    void send(Outstanding &outstanding);
    void finish(std::uint64_t attempt, const AttemptFailed &failed);
    void failAll(bool agentIsGone);
    void failUnsentOlderThan(Milliseconds age);

    asio::io_context &m_context;
    Identity m_identity;
    tcp::endpoint m_endpoint;
    Observers m_observers;
    Wakeup m_wakeup;
    std::shared_ptr<FramedConnection> m_connection;
    std::optional<HelloReply> m_reply;
    std::map<std::uint64_t, std::unique_ptr<Outstanding>> m_outstanding;
    std::uint64_t m_connectionNumber = 0;
    std::uint64_t m_heartbeatNumber = 0;
    std::uint64_t m_agentIncarnation = 0;
    bool m_isRetired = false;
};

} // namespace Cardamomhill
