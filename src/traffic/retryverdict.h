#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Whether a call whose last attempt gave no whole answer is sent once more.
enum class RetryVerdict : std::uint8_t {
    Retry,
    /// It may have run, and running it again is not allowed.
    NotRepeatable,
    AttemptsUsed,
    TooLate,
    BudgetEmpty,
};

constexpr auto nameTable(RetryVerdict)
{
    return std::to_array<NamedValue<RetryVerdict>>({
        {RetryVerdict::Retry, "retry"},
        {RetryVerdict::NotRepeatable, "not-repeatable"},
        {RetryVerdict::AttemptsUsed, "attempts-used"},
        {RetryVerdict::TooLate, "too-late"},
        {RetryVerdict::BudgetEmpty, "budget-empty"},
    });
}

} // namespace Cardamomhill
