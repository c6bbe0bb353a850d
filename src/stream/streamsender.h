#pragma once

#include "core/result.h"
#include "stream/streamdigest.h"
#include "stream/streamerror.h"
#include "stream/streamframe.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Cardamomhill
{

/// The agent's side of one attempt. Keeps each frame until it is acknowledged, so that the answer can be resumed
/// over a new connection.
class StreamSender
{
public:
    /// @param maxBufferedBytes bound on the frames that wait for acknowledgement, see hasRoom().
    StreamSender(std::uint64_t attempt, std::size_t maxBufferedBytes);

    /// Makes the next frame and keeps a copy. Head and Data carry the answer; Failed ends it. Throws std::logic_error
    /// for End (use finish()) and after the last frame.
    StreamFrame append(FrameKind kind, std::string payload);

    /// Makes the last frame of a whole answer. Throws std::logic_error after the last frame.
    StreamFrame finish();

    /// Drops the frames before @p nextSequence. Ignores a number that was never sent.
    void acknowledge(std::uint64_t nextSequence);

    /// False: stop reading from the engine. The buffer exceeds its bound by at most the frames appended regardless.
    bool hasRoom() const;

    /// The kept frames from @p sequence on; none if it is the next one to be made.
    Result<std::vector<StreamFrame>, StreamError> resumeFrom(std::uint64_t sequence) const;

    /// Whether the last frame, End or Failed, was made.
    bool isFinished() const;
    bool isFullyAcknowledged() const;

    /// Memory of the kept frames, including a fixed amount for each.
    std::size_t bufferedBytes() const;

private:
    StreamFrame keep(StreamFrame frame);
    StreamFrame nextFrame(FrameKind kind, std::string payload) const;

    std::uint64_t m_attempt;
    std::size_t m_maxBufferedBytes;
    std::size_t m_bufferedBytes = 0;
    std::uint64_t m_nextSequence = 0;
    bool m_finished = false;
    std::deque<StreamFrame> m_frames;
    internal::StreamDigest m_digest;
};

} // namespace Cardamomhill
