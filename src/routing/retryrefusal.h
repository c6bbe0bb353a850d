#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why a request is not retried.
enum class RetryRefusalCode : std::uint8_t {
    NotIdempotent,
    /// Part of an answer was sent to the caller; the answer of another attempt could differ from it.
    AnswerStarted,
    AlreadyCompleted,
    TooManyAttempts,
    DeadlineTooClose,
    BudgetEmpty,
};

constexpr auto nameTable(RetryRefusalCode)
{
    return std::to_array<NamedValue<RetryRefusalCode>>({
        {RetryRefusalCode::NotIdempotent, "not-idempotent"},
        {RetryRefusalCode::AnswerStarted, "answer-started"},
        {RetryRefusalCode::AlreadyCompleted, "already-completed"},
        {RetryRefusalCode::TooManyAttempts, "too-many-attempts"},
        {RetryRefusalCode::DeadlineTooClose, "deadline-too-close"},
        {RetryRefusalCode::BudgetEmpty, "budget-empty"},
    });
}

/// A request that is not retried, with the reason.
struct RetryRefusal {
    RetryRefusalCode code = RetryRefusalCode::NotIdempotent;
    /// Number of attempts made.
    std::uint64_t attempts = 0;

    std::string message() const;
};

} // namespace Cardamomhill
