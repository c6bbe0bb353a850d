#pragma once

#include "core/nametable.h"
#include "stream/framekind.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cardamomhill
{

/// Pass the payload on; it directly follows the one delivered before.
struct DeliverPayload {
    FrameKind kind = FrameKind::Data;
    std::string payload;
};

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

/// Nothing to do; the frame was dropped.
struct FrameDropped {
    DropReason reason = DropReason::Duplicate;
};

/// Frames are missing. The frame was dropped; ask the sender to resume.
struct GapFound {
    std::uint64_t resumeFrom = 0;
    /// This gap was reported before and the sender has not gone back since, so another request would only make it
    /// send the same frames twice.
    bool alreadyReported = false;
};

/// Count and digest match: the whole answer has been delivered.
struct AnswerComplete {
};

/// What the entry process does after a frame.
using ReceiveEffect = std::variant<DeliverPayload, FrameDropped, GapFound, AnswerComplete>;

} // namespace Cardamomhill
