#pragma once

#include "core/nametable.h"
#include "stream/framekind.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cardamomhill
{

/// Forward the payload to the caller. It directly follows the payload delivered before.
struct DeliverPayload {
    FrameKind kind = FrameKind::Data;
    std::string payload;
};

/// Why a frame was dropped: it was received before, or it belongs to another attempt.
enum class DropReason : std::uint8_t {
    Duplicate,
    OtherAttempt,
};

constexpr auto nameTable(DropReason)
{
    return std::to_array<NamedValue<DropReason>>({
        {DropReason::Duplicate, "duplicate"},
        {DropReason::OtherAttempt, "other-attempt"},
    });
}

/// The frame was dropped and nothing has to be done.
struct FrameDropped {
    DropReason reason = DropReason::Duplicate;
};

/// Frames before this one are missing, so it was dropped. Ask the sender to resume.
struct GapFound {
    /// Sequence number of the first missing frame.
    std::uint64_t resumeFrom = 0;
    /// The gap was reported before and the sender has not resumed since. Another request would only make it send the
    /// same frames twice.
    bool alreadyReported = false;
};

/// The whole answer has been delivered; frame count and digest match.
struct AnswerComplete {
};

/// What the entry process has to do after it received a frame.
using ReceiveEffect = std::variant<DeliverPayload, FrameDropped, GapFound, AnswerComplete>;

} // namespace Cardamomhill
