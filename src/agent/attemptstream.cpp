#include "agent/attemptstream.h"

#include "net/framedconnection.h"
#include "net/steadynow.h"
#include "wire/msgpackcodec.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Limit on the unacknowledged frames of one attempt; above it, nothing more is read from the engine.
constexpr std::size_t MaxBufferedBytes = 1024 * 1024;

} // namespace

AttemptStream::AttemptStream(asio::io_context &context, std::uint64_t attempt, SteadyTime deadline)
    : m_attempt(attempt)
    , m_deadline(deadline)
    , m_sender(attempt, MaxBufferedBytes)
    , m_roomNotification(context)
    , m_lastConnected(steadyNow())
{
}

void AttemptStream::attach(const std::shared_ptr<FramedConnection> &connection)
{
    m_connection = connection;
    m_lastConnected = steadyNow();
}

void AttemptStream::resume(const std::shared_ptr<FramedConnection> &connection, std::uint64_t nextSequence)
{
    attach(connection);
    if (m_endMessage) {
        connection->send(*m_endMessage);
        return;
    }
    const auto frames = m_sender.resumeFrom(nextSequence);
    if (frames.has_error()) {
        connection->send(AttemptEnded{m_attempt, AttemptOutcome::Unknown, AttemptReason::ResumeImpossible, 0});
        cancel();
        return;
    }
    for (const auto &frame : frames.value()) {
        connection->send(frame);
    }
}

void AttemptStream::acknowledge(std::uint64_t nextSequence)
{
    m_isEndAcknowledged = m_endMessage.has_value();
    m_sender.acknowledge(std::min(nextSequence, m_generatedFrames));
    m_acknowledgedFrames = std::max(m_acknowledgedFrames, std::min(nextSequence, m_generatedFrames));
    m_roomNotification.notify();
}

void AttemptStream::cancel()
{
    if (m_state != AttemptState::Running) {
        return;
    }
    m_state = AttemptState::Cancelled;
    m_roomNotification.notify();
    if (const auto handler = std::exchange(m_onCancel, nullptr)) {
        handler();
    }
}

void AttemptStream::onCancel(std::function<void()> handler)
{
    m_onCancel = std::move(handler);
}

void AttemptStream::sendHead(const AnswerHead &head)
{
    if (m_state == AttemptState::Running) {
        send(m_sender.append(FrameKind::Head, packMsgpack(head)));
    }
}

void AttemptStream::sendData(std::string data)
{
    if (m_state == AttemptState::Running) {
        send(m_sender.append(FrameKind::Data, std::move(data)));
    }
}

void AttemptStream::finish()
{
    if (m_state == AttemptState::Running) {
        m_state = AttemptState::Completed;
        send(m_sender.finish());
    }
}

void AttemptStream::endWithoutAnswer(AttemptOutcome outcome, AttemptReason reason)
{
    if (m_state != AttemptState::Running) {
        return;
    }
    m_state = AttemptState::Failed;
    m_endMessage = AttemptEnded{m_attempt, outcome, reason, 0};
    if (const auto connection = m_connection.lock()) {
        connection->send(*m_endMessage);
    }
}

void AttemptStream::endEarly()
{
    endWithoutAnswer(AttemptOutcome::Unknown, AttemptReason::Leaving);
    m_roomNotification.notify();
    if (const auto handler = std::exchange(m_onCancel, nullptr)) {
        handler();
    }
}

void AttemptStream::failAnswer(AttemptReason reason)
{
    if (m_state == AttemptState::Running) {
        m_state = AttemptState::Failed;
        send(m_sender.append(FrameKind::Failed, std::string(nameOf(reason))));
    }
}

Task<bool> AttemptStream::waitForRoom()
{
    while (m_state == AttemptState::Running && !m_sender.hasRoom()) {
        const bool isInTime = co_await m_roomNotification.waitUntil(m_deadline);
        if (!isInTime) {
            failAnswer(AttemptReason::TimedOut);
        }
    }
    co_return m_state == AttemptState::Running;
}

AttemptState AttemptStream::state() const
{
    return m_state;
}

SteadyTime AttemptStream::deadline() const
{
    return m_deadline;
}

Milliseconds AttemptStream::remaining() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(m_deadline - steadyNow()));
}

bool AttemptStream::isRemovable() const
{
    if (m_state == AttemptState::Running) {
        return false;
    }
    if (m_endMessage) {
        return m_isEndAcknowledged;
    }
    return m_state == AttemptState::Cancelled || m_sender.isFullyAcknowledged();
}

std::uint64_t AttemptStream::unacknowledgedFrames() const
{
    return m_generatedFrames - m_acknowledgedFrames;
}

std::optional<SteadyTime> AttemptStream::disconnectedSince() const
{
    const auto connection = m_connection.lock();
    if (connection && connection->isOpen()) {
        return std::nullopt;
    }
    return m_lastConnected;
}

void AttemptStream::send(const StreamFrame &frame)
{
    ++m_generatedFrames;
    if (const auto connection = m_connection.lock()) {
        m_lastConnected = steadyNow();
        connection->send(frame);
    }
}

} // namespace Cardamomhill
