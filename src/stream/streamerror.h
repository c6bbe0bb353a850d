#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class StreamErrorCode : std::uint8_t {
    /// The frame has a kind that this release does not know.
    UnknownKind,
    /// The sequence number of the last frame does not match its frame count.
    CountMismatch,
    /// The digest of the received content differs from the sender's digest.
    DigestMismatch,
    /// The sender reported that it could not complete the answer.
    FailedBySender,
    /// A frame has a higher sequence number than the last frame.
    FrameAfterEnd,
    /// The frame from which to resume was acknowledged, so the sender no longer has it.
    ResumeFromAcknowledged,
    /// The frame from which to resume was never sent.
    ResumeFromUnsent,
};

constexpr auto nameTable(StreamErrorCode)
{
    return std::to_array<NamedValue<StreamErrorCode>>({
        {StreamErrorCode::UnknownKind, "unknown-kind"},
        {StreamErrorCode::CountMismatch, "count-mismatch"},
        {StreamErrorCode::DigestMismatch, "digest-mismatch"},
        {StreamErrorCode::FailedBySender, "failed-by-sender"},
        {StreamErrorCode::FrameAfterEnd, "frame-after-end"},
        {StreamErrorCode::ResumeFromAcknowledged, "resume-from-acknowledged"},
        {StreamErrorCode::ResumeFromUnsent, "resume-from-unsent"},
    });
}

/// Why an answer cannot be completed or resumed.
struct StreamError {
    StreamErrorCode code = StreamErrorCode::UnknownKind;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;
    /// Only for FailedBySender: the reason that the sender gave.
    std::string reason;

    std::string message() const;

    bool operator==(const StreamError &) const = default;
};

} // namespace Cardamomhill
