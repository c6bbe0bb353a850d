#pragma once

namespace Cardamomhill
{

/// Exit status of the program; documented in docs/OPERATIONS.md.
enum class ExitStatus {
    Success = 0,
    /// The command failed, such as when a port is in use, the platform is unreachable or a write conflicts.
    RuntimeError = 1,
    /// The command line is invalid.
    UsageError = 2,
    /// Settings or a configuration object are invalid.
    SettingsError = 3,

    /// `check-config` has found something.
    Findings = 1,
    /// `check-config` could not check everything, or the command line is invalid.
    NotChecked = 2,
};

} // namespace Cardamomhill
