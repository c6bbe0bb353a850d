#pragma once

#include "core/result.h"
#include "explain/loglineerror.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// One line of a process's log.
struct LogLine {
    /// "2026-12-04 06:50:58,444"; sorts as text.
    std::string time;
    /// The word before the time, by which a log collector names the process; empty in a process's own log.
    std::string source;
    std::string event;
    /// In the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty if the line has no such field.
    std::string field(std::string_view name) const;
};

/// Reads a line, also with text of a log collector before its time.
Result<LogLine, LogLineError> readLogLine(std::string_view text);

} // namespace Cardamomhill
