#pragma once

#include "core/result.h"
#include "stream/receiveeffect.h"
#include "stream/streamdigest.h"
#include "stream/streamerror.h"
#include "stream/streamframe.h"

#include <optional>

namespace Cardamomhill
{

/// The entry process's side of one attempt. Delivers the payloads once and in order. Frames behind a gap are dropped
/// and sent again after the resume, so it keeps no frames.
class StreamReceiver
{
public:
    explicit StreamReceiver(std::uint64_t attempt);

    /// What to do after this frame. The first error is final: all later frames of the attempt return it again.
    Result<ReceiveEffect, StreamError> receive(StreamFrame frame);

    /// The frame to resume from; all before it were delivered and may be acknowledged.
    std::uint64_t nextSequence() const;

    /// Whether the answer was completed: count and digest matched.
    bool isComplete() const;

private:
    Result<ReceiveEffect, StreamError> accept(StreamFrame frame);
    Result<ReceiveEffect, StreamError> end(const StreamFrame &frame);
    GapFound gapBefore(std::uint64_t sequence);
    Result<ReceiveEffect, StreamError> fail(StreamErrorCode code, std::uint64_t sequence, std::string reason = {});

    std::uint64_t m_attempt;
    std::uint64_t m_nextSequence = 0;
    /// The newest frame behind the reported gap.
    std::optional<std::uint64_t> m_newestBehindGap;
    bool m_complete = false;
    std::optional<StreamError> m_error;
    internal::StreamDigest m_digest;
};

} // namespace Cardamomhill
