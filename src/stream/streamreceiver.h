#pragma once

#include "core/result.h"
#include "stream/receiveeffect.h"
#include "stream/streamdigest.h"
#include "stream/streamerror.h"
#include "stream/streamframe.h"

#include <optional>

namespace Cardamomhill
{

/// Receives the answer to one attempt, in the entry process. Delivers each payload once and in order. Stores no frames:
/// a frame behind a gap is dropped, and the sender sends it again when it resumes.
class StreamReceiver
{
public:
    explicit StreamReceiver(std::uint64_t attempt);

    /// Processes a frame and returns what to do next. The first error is final and is returned again for all later
    /// frames of the attempt. Only FrameAfterEnd is not: it leaves a complete answer complete.
    Result<ReceiveEffect, StreamError> receive(StreamFrame frame);

    /// Sequence number to resume from. All frames before it were delivered and may be acknowledged.
    std::uint64_t nextSequence() const;

    /// Whether the whole answer was received, with matching frame count and digest.
    bool isComplete() const;

private:
    Result<ReceiveEffect, StreamError> accept(StreamFrame frame);
    Result<ReceiveEffect, StreamError> finish(const StreamFrame &frame);
    GapFound recordGap(std::uint64_t sequence);
    Result<ReceiveEffect, StreamError> fail(StreamErrorCode code, std::uint64_t sequence, std::string reason = {});

    std::uint64_t m_attempt;
    std::uint64_t m_nextSequence = 0;
    /// Sequence number of the last frame that was received behind the current gap, if there is a gap.
    std::optional<std::uint64_t> m_lastBehindGap;
    bool m_complete = false;
    std::optional<StreamError> m_error;
    internal::StreamDigest m_digest;
};

} // namespace Cardamomhill
