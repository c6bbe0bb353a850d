#include "agent/engineattempt.h"

#include "agent/enginerequest.h"
#include "net/framedconnection.h"
#include "net/steadynow.h"
#include "wire/answerheadcodec.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Bytes of unacknowledged frames for one attempt; beyond them the engine is not read.
constexpr std::size_t MaxBufferedBytes = 1024 * 1024;
constexpr Milliseconds ConnectTimeout{1000};

} // namespace

EngineAttempt::EngineAttempt(asio::io_context &context, tcp::endpoint engine, Execute execute)
    : m_execute(std::move(execute))
    , m_engine(std::move(engine))
    , m_deadline(steadyNow() + Milliseconds(m_execute.remainingMs))
    , m_call(context)
    , m_sender(m_execute.attempt, MaxBufferedBytes)
    , m_roomWakeup(context)
    , m_lastAttached(steadyNow())
{
}

Task<> EngineAttempt::run()
{
    const auto self = shared_from_this();
    bool isWhole = co_await begin();
    if (isWhole) {
        isWhole = co_await relayBody();
    }
    if (isWhole) {
        m_state = AttemptState::Completed;
        sendFrame(m_sender.finish());
    }
    m_call.cancel();
}

Task<bool> EngineAttempt::begin()
{
    const auto connected = co_await m_call.connect(m_engine, std::min(remaining(), ConnectTimeout));
    if (m_state != AttemptState::Running) {
        co_return false;
    }
    if (connected.has_error()) {
        end(AttemptOutcome::NotRun, AttemptReason::EngineUnreachable);
        co_return false;
    }
    const auto started = co_await m_call.start(engineRequest(m_execute), remaining());
    if (m_state != AttemptState::Running) {
        co_return false;
    }
    if (started.has_error()) {
        const bool timedOut = started.error().code == NetErrorCode::TimedOut;
        end(AttemptOutcome::Unknown, timedOut ? AttemptReason::TimedOut : AttemptReason::EngineFailed);
        co_return false;
    }
    const auto status = static_cast<std::uint16_t>(m_call.status());
    sendFrame(m_sender.append(FrameKind::Head, encodeHead({status, m_call.contentType(), false})));
    co_return true;
}

Task<bool> EngineAttempt::relayBody()
{
    bool hasRoom = co_await waitForRoom();
    while (hasRoom) {
        auto piece = co_await m_call.readSome(remaining());
        if (m_state != AttemptState::Running) {
            co_return false;
        }
        if (piece.has_error()) {
            failStream(piece.error().code == NetErrorCode::TimedOut ? AttemptReason::TimedOut
                                                                    : AttemptReason::EngineFailed);
            co_return false;
        }
        if (!piece.value()) {
            co_return true;
        }
        sendFrame(m_sender.append(FrameKind::Data, std::move(*piece.value())));
        hasRoom = co_await waitForRoom();
    }
    co_return false;
}

Task<bool> EngineAttempt::waitForRoom()
{
    while (m_state == AttemptState::Running && !m_sender.hasRoom()) {
        const bool isInTime = co_await m_roomWakeup.waitUntil(m_deadline);
        if (!isInTime) {
            failStream(AttemptReason::TimedOut);
        }
    }
    co_return m_state == AttemptState::Running;
}

void EngineAttempt::attach(std::shared_ptr<FramedConnection> connection)
{
    m_connection = connection;
    m_lastAttached = steadyNow();
}

void EngineAttempt::resume(std::shared_ptr<FramedConnection> connection, std::uint64_t nextSequence)
{
    attach(connection);
    if (m_ended) {
        connection->send(*m_ended);
        return;
    }
    const auto frames = m_sender.resumeFrom(nextSequence);
    if (frames.has_error()) {
        connection->send(AttemptEnded{m_execute.attempt, AttemptOutcome::Unknown, AttemptReason::ResumeImpossible, 0});
        cancel();
        return;
    }
    for (const auto &frame : frames.value()) {
        connection->send(frame);
    }
}

void EngineAttempt::acknowledge(std::uint64_t nextSequence)
{
    m_isEndAcknowledged = m_ended.has_value();
    m_sender.acknowledge(nextSequence);
    m_acknowledgedFrames = std::max(m_acknowledgedFrames, std::min(nextSequence, m_generatedFrames));
    m_roomWakeup.notify();
}

void EngineAttempt::cancel()
{
    if (m_state == AttemptState::Running) {
        m_state = AttemptState::Cancelled;
        m_call.cancel();
        m_roomWakeup.notify();
    }
}

AttemptState EngineAttempt::state() const
{
    return m_state;
}

bool EngineAttempt::isSettled() const
{
    if (m_state == AttemptState::Running) {
        return false;
    }
    if (m_ended) {
        return m_isEndAcknowledged;
    }
    return m_state == AttemptState::Cancelled || m_sender.isFullyAcknowledged();
}

std::uint64_t EngineAttempt::unacknowledgedFrames() const
{
    return m_generatedFrames - m_acknowledgedFrames;
}

std::optional<SteadyTime> EngineAttempt::detachedSince() const
{
    const auto connection = m_connection.lock();
    if (connection && connection->isOpen()) {
        return std::nullopt;
    }
    return m_lastAttached;
}

void EngineAttempt::sendFrame(const StreamFrame &frame)
{
    ++m_generatedFrames;
    if (const auto connection = m_connection.lock()) {
        m_lastAttached = steadyNow();
        connection->send(frame);
    }
}

void EngineAttempt::end(AttemptOutcome outcome, AttemptReason reason)
{
    m_state = AttemptState::Failed;
    m_ended = AttemptEnded{m_execute.attempt, outcome, reason, 0};
    if (const auto connection = m_connection.lock()) {
        connection->send(*m_ended);
    }
}

void EngineAttempt::failStream(AttemptReason reason)
{
    m_state = AttemptState::Failed;
    sendFrame(m_sender.append(FrameKind::Failed, std::string(nameOf(reason))));
}

Milliseconds EngineAttempt::remaining() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(m_deadline - steadyNow()));
}

} // namespace Cardamomhill
