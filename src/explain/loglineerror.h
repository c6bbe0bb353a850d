#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// Why a line of a log file cannot be parsed.
enum class LogLineError {
    /// The line is not a log event of this program.
    Foreign,
    /// The line ends within a field, or has no event name or no time.
    Truncated,
};

constexpr auto nameTable(LogLineError)
{
    return std::to_array<NamedValue<LogLineError>>({
        {LogLineError::Foreign, "foreign"},
        {LogLineError::Truncated, "truncated"},
    });
}

} // namespace Cardamomhill
