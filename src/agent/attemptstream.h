#pragma once

#include "agent/attemptstate.h"
#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/notification.h"
#include "stream/streamsender.h"
#include "wire/answerhead.h"
#include "wire/attemptended.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Cardamomhill
{

class FramedConnection;

/// Sends the answer to one attempt to the entry process. Frames are kept until acknowledged, so that the answer can be
/// resumed after a lost connection.
class AttemptStream
{
public:
    AttemptStream(asio::io_context &context, std::uint64_t attempt, SteadyTime deadline);

    /// Sets the connection for frames from now on.
    void attach(const std::shared_ptr<FramedConnection> &connection);

    /// Sets a new connection and sends the frames from a sequence number on over it.
    void resume(const std::shared_ptr<FramedConnection> &connection, std::uint64_t nextSequence);

    void acknowledge(std::uint64_t nextSequence);

    /// Call when the entry process no longer needs the answer.
    void cancel();

    /// Sets the handler that cancel() calls if the attempt is running.
    void onCancel(std::function<void()> handler);

    void sendHead(const AnswerHead &head);
    void sendData(std::string data);

    /// Ends a complete answer.
    void finish();

    /// Ends the attempt before its answer has begun.
    void endWithoutAnswer(AttemptOutcome outcome, AttemptReason reason);
    /// Ends a running attempt because the agent is about to be killed, and tells the entry process.
    void endEarly();

    /// Ends an answer that has begun but cannot be completed.
    void failAnswer(AttemptReason reason);

    /// Waits until the entry process has acknowledged enough frames to send more. Returns false if the attempt has
    /// ended.
    Task<bool> waitForRoom();

    AttemptState state() const;
    SteadyTime deadline() const;
    Milliseconds remaining() const;

    /// Whether the attempt was cancelled, or has ended and the entry process has acknowledged all of it.
    bool isRemovable() const;

    /// Number of frames that were generated and not acknowledged.
    std::uint64_t unacknowledgedFrames() const;

    /// When a connection last carried this attempt; nothing while one is open.
    std::optional<SteadyTime> disconnectedSince() const;

private:
    void send(const StreamFrame &frame);

    std::uint64_t m_attempt;
    SteadyTime m_deadline;
    StreamSender m_sender;
    Notification m_roomNotification;
    std::function<void()> m_onCancel;
    std::weak_ptr<FramedConnection> m_connection;
    SteadyTime m_lastConnected;
    std::optional<AttemptEnded> m_endMessage;
    bool m_isEndAcknowledged = false;
    std::uint64_t m_generatedFrames = 0;
    std::uint64_t m_acknowledgedFrames = 0;
    AttemptState m_state = AttemptState::Running;
};

} // namespace Cardamomhill
