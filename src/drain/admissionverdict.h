#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Whether a call may begin at a process that may be stopping, and why.
enum class AdmissionVerdict : std::uint8_t {
    /// The process does not stop, or nothing ends it while calls run.
    NotStopping,
    /// The longest time that the call may take is over before the process ends what still runs.
    EndsInTime,
    /// The call may take longer than the process has left, but calls like it are not known to.
    UsuallyEndsInTime,
    /// The process would probably have to cut the call.
    Refused,
};

constexpr auto nameTable(AdmissionVerdict)
{
    return std::to_array<NamedValue<AdmissionVerdict>>({
        {AdmissionVerdict::NotStopping, "before-stop"},
        {AdmissionVerdict::EndsInTime, "ends-in-time"},
        {AdmissionVerdict::UsuallyEndsInTime, "usually-ends-in-time"},
        {AdmissionVerdict::Refused, "refused"},
    });
}

} // namespace Cardamomhill
