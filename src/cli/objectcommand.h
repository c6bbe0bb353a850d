#pragma once

#include "cli/exitstatus.h"

#include <string>

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `profile|service|organisation|backendserver create|change|retire|list`: writes or lists configuration objects.
ExitStatus objectCommand(const internal::CommandOptions &options);

/// `config check KIND NAME FILE`: checks the JSON value of a configuration object.
ExitStatus checkObjectFile(const std::string &kind, const std::string &name, const std::string &file);

} // namespace Cardamomhill
