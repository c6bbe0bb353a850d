#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What may be repeated of a call.
enum class CallKind : std::uint8_t {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a series of events.
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
