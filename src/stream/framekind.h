#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What a frame of an answer carries.
enum class FrameKind : std::uint8_t {
    /// Status and header fields of the answer.
    Head,
    /// A part of the body.
    Data,
    /// The last frame of a whole answer, with its frame count and digest.
    End,
    /// The last frame of an answer that the agent could not finish; the payload says why.
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
