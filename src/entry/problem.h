#pragma once

#include "core/clocktypes.h"
#include "entry/problemkind.h"
#include "net/httpexchange.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// An error answer to a caller.
struct Problem {
    ProblemKind kind = ProblemKind::NotFound;
    unsigned status = 500;
    /// What is known of the execution: "not-sent", "not-run", "rejected" or "unknown".
    std::string outcome;
    std::string detail;
    /// After which time a retry makes sense.
    std::optional<Milliseconds> retryAfter;
    /// A new idempotency key whose slot has an available owner, for a request that was not sent; else empty.
    std::string replacementKey = {};
};

/// The problem document (RFC 9457) in JSON.
std::string problemJson(const Problem &problem);

Task<bool> sendProblem(HttpExchange &exchange, Problem problem);

} // namespace Cardamomhill
