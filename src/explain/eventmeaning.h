#pragma once

#include "explain/logline.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// What a line says in plain words; empty if there is nothing to add to it.
std::string_view meaningOf(const LogLine &line);

/// What part of a process's state a line tells, such as its configuration; empty for lines of requests and others. A
/// newer line of the same topic replaces an older one.
std::string topicOf(const LogLine &line);

} // namespace Cardamomhill
