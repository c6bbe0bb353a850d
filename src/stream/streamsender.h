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

/// Sends the answer to one attempt, in the agent. Keeps each frame until it is acknowledged, so that the answer can be
/// resumed over a new connection.
class StreamSender
{
public:
    /// @param maxBufferedBytes bound on the memory of unacknowledged frames, see hasRoom()
    StreamSender(std::uint64_t attempt, std::size_t maxBufferedBytes);

    /// Creates the next frame and keeps a copy. Head and Data carry the answer; Failed ends it. Throws std::logic_error
    /// for End (use finish()) and after the last frame.
    StreamFrame append(FrameKind kind, std::string payload);

    /// Creates the last frame of a complete answer. Throws std::logic_error after the last frame.
    StreamFrame finish();

    /// Drops the frames before @p nextSequence. Ignored if not all of these were sent.
    void acknowledge(std::uint64_t nextSequence);

    /// Whether the kept frames are below the bound. If not, the agent stops reading from the engine; the bound is not
    /// enforced for frames that are appended nevertheless.
    bool hasRoom() const;

    /// Returns the kept frames from @p sequence on; none if that frame is the next to be created.
    Result<std::vector<StreamFrame>, StreamError> resumeFrom(std::uint64_t sequence) const;

    /// Whether the last frame, End or Failed, was created.
    bool isFinished() const;
    /// Whether the last frame and all before it were acknowledged.
    bool isFullyAcknowledged() const;

    /// Memory of the kept frames: their payloads and a fixed size for each frame.
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
