#include "stream/streamreceiver.h"

#include <utility>

namespace Cardamomhill
{

namespace
{

/// Makes the effect in place: g++ 12 warns of uninitialised members when a variant is moved into the result under the
/// sanitizers.
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
        // The answer was verified before, so it stays complete.
        return failure(StreamError{StreamErrorCode::FrameAfterEnd, m_attempt, frame.sequence, {}});
    }
    if (frame.sequence > m_nextSequence) {
        return resultOf(gapBefore(frame.sequence));
    }
    return accept(std::move(frame));
}

Result<ReceiveEffect, StreamError> StreamReceiver::accept(StreamFrame frame)
{
    m_newestBehindGap.reset();
    switch (frame.kind) {
    case FrameKind::Head:
    case FrameKind::Data:
        m_digest.update(frame.kind, frame.payload);
        ++m_nextSequence;
        return resultOf(DeliverPayload{frame.kind, std::move(frame.payload)});
    case FrameKind::End:
        return end(frame);
    case FrameKind::Failed:
        return fail(StreamErrorCode::FailedBySender, frame.sequence, std::move(frame.payload));
    }
    return fail(StreamErrorCode::UnknownKind, frame.sequence);
}

Result<ReceiveEffect, StreamError> StreamReceiver::end(const StreamFrame &frame)
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

GapFound StreamReceiver::gapBefore(std::uint64_t sequence)
{
    // A sender that resumes goes back first, so a higher number belongs to the frames sent before the resume.
    const bool alreadyReported = m_newestBehindGap && sequence > *m_newestBehindGap;
    m_newestBehindGap = sequence;
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
