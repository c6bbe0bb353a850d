#include "stream/streamsender.h"

#include <stdexcept>
#include <utility>

namespace Cardamomhill
{

namespace
{

/// Includes the frame object, so that the bound also limits the number of frames with empty payloads.
std::size_t memoryBytes(const StreamFrame &frame)
{
    return sizeof(StreamFrame) + frame.payload.size();
}

} // namespace

StreamSender::StreamSender(std::uint64_t attempt, std::size_t maxBufferedBytes)
    : m_attempt(attempt)
    , m_maxBufferedBytes(maxBufferedBytes)
{
}

StreamFrame StreamSender::append(FrameKind kind, std::string payload)
{
    if (kind == FrameKind::End) {
        throw std::logic_error("append() was called with an End frame; use finish()");
    }
    if (kind != FrameKind::Failed) {
        m_digest.update(kind, payload);
    }
    return keep(nextFrame(kind, std::move(payload)));
}

StreamFrame StreamSender::finish()
{
    StreamFrame frame = nextFrame(FrameKind::End, {});
    frame.frameCount = m_nextSequence + 1;
    frame.digest = m_digest.value();
    return keep(std::move(frame));
}

StreamFrame StreamSender::nextFrame(FrameKind kind, std::string payload) const
{
    if (m_finished) {
        throw std::logic_error("a frame was appended after the last one");
    }
    StreamFrame frame;
    frame.attempt = m_attempt;
    frame.sequence = m_nextSequence;
    frame.kind = kind;
    frame.payload = std::move(payload);
    return frame;
}

StreamFrame StreamSender::keep(StreamFrame frame)
{
    ++m_nextSequence;
    m_finished = frame.kind == FrameKind::End || frame.kind == FrameKind::Failed;
    m_bufferedBytes += memoryBytes(frame);
    m_frames.push_back(frame);
    return frame;
}

void StreamSender::acknowledge(std::uint64_t nextSequence)
{
    if (nextSequence > m_nextSequence) {
        return;
    }
    while (!m_frames.empty() && m_frames.front().sequence < nextSequence) {
        m_bufferedBytes -= memoryBytes(m_frames.front());
        m_frames.pop_front();
    }
}

bool StreamSender::hasRoom() const
{
    return m_bufferedBytes < m_maxBufferedBytes;
}

Result<std::vector<StreamFrame>, StreamError> StreamSender::resumeFrom(std::uint64_t sequence) const
{
    if (sequence > m_nextSequence) {
        return failure(StreamError{StreamErrorCode::ResumeFromUnsent, m_attempt, sequence, {}});
    }
    const std::uint64_t firstKept = m_nextSequence - m_frames.size();
    if (sequence < firstKept) {
        return failure(StreamError{StreamErrorCode::ResumeFromAcknowledged, m_attempt, sequence, {}});
    }
    const auto first = m_frames.begin() + static_cast<std::ptrdiff_t>(sequence - firstKept);
    return std::vector<StreamFrame>(first, m_frames.end());
}

bool StreamSender::isFinished() const
{
    return m_finished;
}

bool StreamSender::isFullyAcknowledged() const
{
    return m_finished && m_frames.empty();
}

std::size_t StreamSender::bufferedBytes() const
{
    return m_bufferedBytes;
}

} // namespace Cardamomhill
