#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// The stable types of the problem documents (RFC 9457) that callers get.
enum class ProblemKind : std::uint8_t {
    AnswerUnknown,
    AttemptRejected,
    IdempotencyKeyInvalid,
    IdempotencyKeyMissing,
    IdempotencyKeyMismatch,
    NoBackendServer,
    NotFound,
    NotReady,
    NotRun,
    Overloaded,
    PromptBlocked,
    ServiceUnknown,
    TimedOut,
    TokenInvalid,
};

constexpr auto nameTable(ProblemKind)
{
    return std::to_array<NamedValue<ProblemKind>>({
        {ProblemKind::AnswerUnknown, "answer-unknown"},
        {ProblemKind::AttemptRejected, "attempt-rejected"},
        {ProblemKind::IdempotencyKeyInvalid, "idempotency-key-invalid"},
        {ProblemKind::IdempotencyKeyMissing, "idempotency-key-missing"},
        {ProblemKind::IdempotencyKeyMismatch, "idempotency-key-mismatch"},
        {ProblemKind::NoBackendServer, "no-backend-server"},
        {ProblemKind::NotFound, "not-found"},
        {ProblemKind::NotReady, "not-ready"},
        {ProblemKind::NotRun, "not-run"},
        {ProblemKind::Overloaded, "overloaded"},
        {ProblemKind::PromptBlocked, "prompt-blocked"},
        {ProblemKind::ServiceUnknown, "service-unknown"},
        {ProblemKind::TimedOut, "timed-out"},
        {ProblemKind::TokenInvalid, "token-invalid"},
    });
}

} // namespace Cardamomhill
