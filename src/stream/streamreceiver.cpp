#include "stream/streamreceiver.h"

#include <utility>

namespace Cardamomhill
{

namespace
{

/// Constructs the effect in place. When a variant is moved into the result instead, g++ 12 with sanitizers warns of
/// uninitialised members.
template<class Effect>
Result<ReceiveEffect, StreamError> resultOf(Effect effect)
{
    return Result<ReceiveEffect, StreamError>(boost::outcome_v2::in_place_type<ReceiveEffect>, std::move(effect));
}

} // namespace

StreamReceiver::StreamReceiver(std::uint64_t attempt)
    : m_attempt(attempt)
{
}

Result<ReceiveEffect, StreamError> StreamReceiver::receive(StreamFrame frame)
{
    if (frame.attempt != m_attempt) {
        return resultOf(FrameDropped{DropReason::OtherAttempt});
    }
    if (m_error) {
        return failure(*m_error);
    }
    if (frame.sequence < m_nextSequence) {
        return resultOf(FrameDropped{DropReason::Duplicate});
    }
    if (m_complete) {
        // Not stored in m_error: the answer has been verified and stays complete.
        return failure(StreamError{StreamErrorCode::FrameAfterEnd, m_attempt, frame.sequence, {}});
    }
    if (frame.sequence > m_nextSequence) {
        return resultOf(recordGap(frame.sequence));
    }
    return accept(std::move(frame));
}

Result<ReceiveEffect, StreamError> StreamReceiver::accept(StreamFrame frame)
{
    m_lastBehindGap.reset();
    switch (frame.kind) {
    case FrameKind::Head:
    case FrameKind::Data:
        m_digest.update(frame.kind, frame.payload);
        ++m_nextSequence;
        return resultOf(DeliverPayload{frame.kind, std::move(frame.payload)});
    case FrameKind::End:
        return finish(frame);
    case FrameKind::Failed:
        return fail(StreamErrorCode::FailedBySender, frame.sequence, std::move(frame.payload));
    }
    return fail(StreamErrorCode::UnknownKind, frame.sequence);
}

Result<ReceiveEffect, StreamError> StreamReceiver::finish(const StreamFrame &frame)
{
    if (frame.frameCount != frame.sequence + 1) {
        return fail(StreamErrorCode::CountMismatch, frame.sequence);
    }
    if (frame.digest != m_digest.value()) {
        return fail(StreamErrorCode::DigestMismatch, frame.sequence);
    }
    ++m_nextSequence;
    m_complete = true;
    return resultOf(AnswerComplete{});
}

GapFound StreamReceiver::recordGap(std::uint64_t sequence)
{
    // A sender that resumes first repeats lower sequence numbers, so a higher one was sent before the resume.
    const bool alreadyReported = m_lastBehindGap && sequence > *m_lastBehindGap;
    m_lastBehindGap = sequence;
    return GapFound{m_nextSequence, alreadyReported};
}

Result<ReceiveEffect, StreamError>
StreamReceiver::fail(StreamErrorCode code, std::uint64_t sequence, std::string reason)
{
    m_error = StreamError{code, m_attempt, sequence, std::move(reason)};
    return failure(*m_error);
}

std::uint64_t StreamReceiver::nextSequence() const
{
    return m_nextSequence;
}

bool StreamReceiver::isComplete() const
{
    return m_complete;
}

} // namespace Cardamomhill
