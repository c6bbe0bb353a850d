#pragma once

#include "core/nametable.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Whether the request of an attempt that ended without an answer was executed.
enum class AttemptOutcome : std::uint8_t {
    /// The request was not executed, and never will be for this idempotency key or attempt.
    NotRun,
    /// The agent did not accept this attempt. Other attempts with the same idempotency key may have been executed.
    Rejected,
    /// The request may or may not have been executed.
    Unknown,
};

constexpr auto nameTable(AttemptOutcome)
{
    return std::to_array<NamedValue<AttemptOutcome>>({
        {AttemptOutcome::NotRun, "not-run"},
        {AttemptOutcome::Rejected, "rejected"},
        {AttemptOutcome::Unknown, "unknown"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::AttemptOutcome)
