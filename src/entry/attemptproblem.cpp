#include "entry/attemptproblem.h"

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnprocessable = 422;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr Seconds ShortRetryAfter{1};

RequestOutcome outcomeOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotRun:
        return RequestOutcome::NotRun;
    case AttemptOutcome::Rejected:
        return RequestOutcome::Rejected;
    case AttemptOutcome::Unknown:
        return RequestOutcome::Unknown;
    }
    return RequestOutcome::Unknown;
}

ProblemKind kindOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::NotRun:
        return ProblemKind::NotRun;
    case RequestOutcome::NotSent:
        return ProblemKind::NoBackendServer;
    case RequestOutcome::Rejected:
        return ProblemKind::AttemptRejected;
    case RequestOutcome::Completed:
    case RequestOutcome::Unknown:
        return ProblemKind::AnswerUnknown;
    }
    return ProblemKind::AnswerUnknown;
}

} // namespace

RequestOutcome outcomeOf(RelayEnd end, const std::optional<AttemptEvent> &failure)
{
    if (end == RelayEnd::Completed) {
        return RequestOutcome::Completed;
    }
    if (failure && std::holds_alternative<AttemptNotSent>(*failure)) {
        return RequestOutcome::NotSent;
    }
    const auto *failed = failure ? std::get_if<AttemptFailed>(&*failure) : nullptr;
    return failed == nullptr ? RequestOutcome::Unknown : outcomeOf(failed->outcome);
}

Problem problemOfFailure(const AttemptEvent &failure, RequestOutcome outcome)
{
    const unsigned status = outcome == RequestOutcome::Unknown ? StatusBadGateway : StatusUnavailable;
    Problem problem{kindOf(outcome), status, std::string(nameOf(outcome)), "", ShortRetryAfter};
    const auto *failed = std::get_if<AttemptFailed>(&failure);
    if (failed == nullptr) {
        return problem;
    }
    problem.detail = nameOf(failed->reason);
    if (failed->reason == AttemptReason::KeyMismatch) {
        problem.kind = ProblemKind::IdempotencyKeyMismatch;
        problem.status = StatusUnprocessable;
        problem.retryAfter.reset();
    } else if (failed->reason == AttemptReason::KeyExpired || failed->reason == AttemptReason::KeyRefused) {
        // The decision about this key is final, so a retry with it makes no sense.
        problem.status = StatusConflict;
        problem.retryAfter.reset();
    }
    return problem;
}

} // namespace Cardamomhill
