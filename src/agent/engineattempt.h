#pragma once

#include "agent/attemptstate.h"
#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/httpcall.h"
#include "net/wakeup.h"
#include "stream/streamsender.h"
#include "wire/attemptended.h"
#include "wire/execute.h"

#include <memory>
#include <optional>

namespace Cardamomhill
{

class FramedConnection;

/// One idempotent attempt that runs on the backend server of this host. Its answer is relayed piece by piece as the
/// engine gives it, and kept until acknowledged so that it survives a lost connection.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    EngineAttempt(asio::io_context &context, tcp::endpoint engine, Execute execute);

    Task<> run();

    /// Sends frames over this connection from now on.
    void attach(std::shared_ptr<FramedConnection> connection);

    /// Sends the frames from a sequence number on again, over a new connection.
    void resume(std::shared_ptr<FramedConnection> connection, std::uint64_t nextSequence);

    void acknowledge(std::uint64_t nextSequence);

    /// Cancels the request at the engine.
    void cancel();

    AttemptState state() const;

    /// Whether the entry process has all of the answer, so that the attempt can be forgotten.
    bool isSettled() const;

    /// Frames that were generated and never acknowledged.
    std::uint64_t unacknowledgedFrames() const;

    /// Since when no connection has carried this attempt; nothing while one does.
    std::optional<SteadyTime> detachedSince() const;

private:
    Task<bool> begin();
    Task<bool> relayBody();
    Task<bool> waitForRoom();
    void sendFrame(const StreamFrame &frame);
    void end(AttemptOutcome outcome, AttemptReason reason);
    void failStream(AttemptReason reason);
    Milliseconds remaining() const;

    Execute m_execute;
    tcp::endpoint m_engine;
    SteadyTime m_deadline;
    HttpCall m_call;
    StreamSender m_sender;
    Wakeup m_roomWakeup;
    std::weak_ptr<FramedConnection> m_connection;
    std::optional<AttemptEnded> m_ended;
    bool m_isEndAcknowledged = false;
    std::uint64_t m_generatedFrames = 0;
    std::uint64_t m_acknowledgedFrames = 0;
    SteadyTime m_lastAttached;
    AttemptState m_state = AttemptState::Running;
};

} // namespace Cardamomhill
