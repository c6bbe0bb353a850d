#pragma once

#include "logging/logfield.h"
#include "logging/loglevel.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Sends log lines to standard error, at this level and above.
void startLogging(LogLevel level);

/// Sends log lines to standard output through a bounded buffer that a thread of its own empties. When the buffer is
/// full, lines are dropped and a later line says how many: writing never waits for the reader.
void startBufferedLogging(LogLevel level);

/// Writes out what is buffered, and from now on each line at once, so that none is dropped. For the last lines of a
/// process.
void endBufferedLogging();

/// Writes out what is buffered, before the process ends.
void stopLogging();

/// Writes one line: time, level, event, then name=value pairs. Values with spaces or quotes are quoted.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// The text of a line without time and level.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace Cardamomhill
