#pragma once

#include "routing/requestoutcome.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

/// Records the attempts of one request and derives the outcome of the request from theirs.
class AttemptLog
{
public:
    /// Starts an attempt and returns its number. Until its end is recorded its outcome is unknown.
    std::size_t start();

    /// Records the outcome of an attempt. If several are reported, the first one is kept, except that a late answer
    /// still completes an attempt whose outcome was unknown.
    void end(std::size_t attempt, RequestOutcome outcome);

    /// The outcome of the whole request: completed if an attempt was; else unknown if one is unknown or has not ended;
    /// else rejected if one was, since that says nothing about the idempotency key; else "not run" if a slot owner
    /// said so; else "not sent".
    RequestOutcome outcome() const;

    /// The number of attempts started.
    std::size_t count() const;

private:
    std::vector<RequestOutcome> m_attempts;
    std::vector<bool> m_ended;
};

} // namespace Cardamomhill
