#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Kind of content of a frame.
enum class FrameKind : std::uint8_t {
    /// Status and header fields of the answer.
    Head,
    /// A part of the body.
    Data,
    /// The last frame of a complete answer, with the frame count and digest to verify it.
    End,
    /// The last frame of an answer that the agent could not complete; the payload is the reason.
    Failed,
};

constexpr auto nameTable(FrameKind)
{
    return std::to_array<NamedValue<FrameKind>>({
        {FrameKind::Head, "head"},
        {FrameKind::Data, "data"},
        {FrameKind::End, "end"},
        {FrameKind::Failed, "failed"},
    });
}

} // namespace Cardamomhill
