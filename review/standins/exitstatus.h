#pragma once

namespace Review
{

/// Exit status of a case's script.
enum class ExitStatus {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

} // namespace Review
