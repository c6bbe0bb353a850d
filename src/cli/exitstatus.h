#pragma once

namespace Cardamomhill
{

/// Exit statuses of the program; documented in docs/OPERATIONS.md.
enum class ExitStatus {
    Success = 0,
    /// The work failed: a port is taken, the platform cannot be reached, a write conflicts.
    RuntimeError = 1,
    /// The command line is wrong.
    UsageError = 2,
    /// Settings or a configuration object have mistakes.
    SettingsError = 3,
};

} // namespace Cardamomhill
