#pragma once

#include "agent/attemptstate.h"
#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/wakeup.h"
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

/// The answer to one attempt on its way to the entry process. Frames are kept until acknowledged, so that the answer
/// survives a lost connection.
class AttemptStream
{
public:
    AttemptStream(asio::io_context &context, std::uint64_t attempt, SteadyTime deadline);

    /// Sends frames over this connection from now on.
    void attach(const std::shared_ptr<FramedConnection> &connection);

    /// Sends the frames from a sequence number on again, over a new connection.
    void resume(const std::shared_ptr<FramedConnection> &connection, std::uint64_t nextSequence);

    void acknowledge(std::uint64_t nextSequence);

    /// The entry process no longer wants the answer.
    void cancel();

    /// Called by cancel() while the attempt runs.
    void onCancel(std::function<void()> handler);

    void sendHead(const AnswerHead &head);
    void sendData(std::string data);

    /// Ends a whole answer.
    void finish();

    /// Ends an attempt without answer.
    void end(AttemptOutcome outcome, AttemptReason reason);

    /// Ends an answer that has begun and can't be completed.
    void fail(AttemptReason reason);

    /// Waits until the entry process has acknowledged enough. Returns false when the attempt has ended.
    Task<bool> waitForRoom();

    AttemptState state() const;
    SteadyTime deadline() const;
    Milliseconds remaining() const;

    /// Whether the entry process has all of the answer, so that the attempt can be forgotten.
    bool isSettled() const;

    /// Frames that were generated and never acknowledged.
    std::uint64_t unacknowledgedFrames() const;

    /// Since when no connection has carried this attempt; nothing while one does.
    std::optional<SteadyTime> detachedSince() const;

private:
    void send(const StreamFrame &frame);

    std::uint64_t m_attempt;
    SteadyTime m_deadline;
    StreamSender m_sender;
    Wakeup m_roomWakeup;
    std::function<void()> m_onCancel;
    std::weak_ptr<FramedConnection> m_connection;
    SteadyTime m_lastAttached;
    std::optional<AttemptEnded> m_ended;
    bool m_isEndAcknowledged = false;
    std::uint64_t m_generatedFrames = 0;
    std::uint64_t m_acknowledgedFrames = 0;
    AttemptState m_state = AttemptState::Running;
};

} // namespace Cardamomhill
