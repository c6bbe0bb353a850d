#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Whether a call is retried after an attempt without a complete answer, and if not, why.
enum class RetryVerdict : std::uint8_t {
    Retry,
    /// The call may have run and must not run again.
    NotRepeatable,
    /// A part of the answer was delivered that cannot be continued by another server.
    NotResumable,
    AttemptsUsed,
    /// Too little time is left before the deadline.
    TooLate,
    BudgetEmpty,
    /// A part of the prompt is blocked.
    PromptBlocked,
    /// The call may be the one that crashes servers.
    PromptSuspected,
};

constexpr auto nameTable(RetryVerdict)
{
    return std::to_array<NamedValue<RetryVerdict>>({
        {RetryVerdict::Retry, "retry"},
        {RetryVerdict::NotRepeatable, "not-repeatable"},
        {RetryVerdict::NotResumable, "not-resumable"},
        {RetryVerdict::AttemptsUsed, "attempts-used"},
        {RetryVerdict::TooLate, "too-late"},
        {RetryVerdict::BudgetEmpty, "budget-empty"},
        {RetryVerdict::PromptBlocked, "prompt-blocked"},
        {RetryVerdict::PromptSuspected, "prompt-suspected"},
    });
}

} // namespace Cardamomhill
