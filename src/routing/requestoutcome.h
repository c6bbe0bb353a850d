#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What is known about a request, or one of its attempts, when it ends.
enum class RequestOutcome : std::uint8_t {
    /// The whole answer was received.
    Completed,
    /// It was not executed and never will be.
    NotRun,
    /// It never left this entry process.
    NotSent,
    /// The agent refused this attempt, without a statement about other attempts with its idempotency key.
    Rejected,
    /// It may have been executed, fully or partly.
    Unknown,
};

constexpr auto nameTable(RequestOutcome)
{
    return std::to_array<NamedValue<RequestOutcome>>({
        {RequestOutcome::Completed, "completed"},
        {RequestOutcome::NotRun, "not-run"},
        {RequestOutcome::NotSent, "not-sent"},
        {RequestOutcome::Rejected, "rejected"},
        {RequestOutcome::Unknown, "unknown"},
    });
}

} // namespace Cardamomhill
