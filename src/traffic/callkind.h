#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Whether a call may be repeated, and how it is answered.
enum class CallKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Is answered with a stream of events.
    Stream,
};

constexpr auto nameTable(CallKind)
{
    return std::to_array<NamedValue<CallKind>>({
        {CallKind::Idempotent, "idempotent"},
        {CallKind::NonIdempotent, "non-idempotent"},
        {CallKind::Stream, "stream"},
    });
}

} // namespace Cardamomhill
