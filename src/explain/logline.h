#pragma once

#include "core/result.h"
#include "explain/loglineerror.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// A parsed line of a process's log.
struct LogLine {
    /// Such as "2026-12-04 06:50:58,444"; its text order is the order of time.
    std::string time;
    /// The word before the time, which a log collector adds to name the process; empty in a process's own log.
    std::string source;
    std::string event;
    /// Names and values in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// The value of a field; empty if the line has no such field.
    std::string field(std::string_view name) const;
};

/// Parses a line. Text that a log collector added before the time is allowed.
Result<LogLine, LogLineError> parseLogLine(std::string_view text);

} // namespace Cardamomhill
