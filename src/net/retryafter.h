#pragma once

#include "core/clocktypes.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace Cardamomhill
{

/// Parses a date of an HTTP header, such as "Sun, 06 Nov 1994 08:49:37 GMT". Returns nothing for the two obsolete
/// formats.
std::optional<std::chrono::sys_seconds> parseHttpDate(std::string_view text);

/// Parses a value of Retry-After: seconds, which may have a fraction, or the date at which the time ends. Returns
/// nothing if the value is neither; a time longer than a day becomes a day, and a date in the past becomes 0.
/// @param now the time by the clock of the server that stated a date
std::optional<Milliseconds> parseRetryAfter(std::string_view text, std::chrono::sys_seconds now);

} // namespace Cardamomhill
