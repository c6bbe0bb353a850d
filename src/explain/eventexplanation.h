#pragma once

#include "explain/logline.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Explains a log line in a sentence; empty if the line needs no explanation.
std::string_view explanationOf(const LogLine &line);

/// The part of a process's state that a log line reports, such as its configuration; empty if it reports none, like the
/// lines about requests. A newer line of the same topic supersedes an older one.
std::string topicOf(const LogLine &line);

} // namespace Cardamomhill
