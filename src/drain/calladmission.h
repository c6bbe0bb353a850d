#pragma once

#include "core/clocktypes.h"
#include "drain/admissionverdict.h"

#include <optional>

namespace Cardamomhill
{

/// Whether a call was admitted and what that went by, for the log line of a call that is cut nevertheless.
struct CallAdmission {
    AdmissionVerdict verdict = AdmissionVerdict::NotStopping;
    /// The longest time that the call may take.
    Milliseconds limit{0};
    /// How long the process had been stopping; nothing if it had not.
    std::optional<Milliseconds> drainingTime;
    /// How long calls like it were expected to take at most; nothing if that was not known or did not matter.
    std::optional<Milliseconds> expected;

    bool isAdmitted() const
    {
        return verdict != AdmissionVerdict::Refused;
    }
};

} // namespace Cardamomhill
