#pragma once

#include "routing/requestoutcome.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

/// The attempts of one request and what is known of each, from which the outcome of the request follows.
class AttemptLog
{
public:
    /// Starts an attempt and returns its number. Until its end is recorded its outcome is unknown.
    std::size_t start();

    /// Records the end of an attempt. Of several ends the first stands, except that an attempt of unknown outcome can
    /// still be completed by a late answer.
    void end(std::size_t attempt, RequestOutcome outcome);

    /// The outcome of the whole request: completed if an attempt was; unknown if one is unknown or still open;
    /// rejected if one was, since that says nothing about the key; "not run" if an owner said so; else "not sent".
    RequestOutcome outcome() const;

    std::size_t count() const;

private:
    std::vector<RequestOutcome> m_attempts;
    std::vector<bool> m_ended;
};

} // namespace Cardamomhill
