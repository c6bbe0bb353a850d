#pragma once

#include "cli/exitstatus.h"

#include <string>

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `profile|service|organisation|backendserver create|change|retire|list`.
ExitStatus objectCommand(const internal::CommandOptions &options);

/// `config check KIND NAME FILE`.
ExitStatus checkObjectFile(const std::string &kind, const std::string &name, const std::string &file);

} // namespace Cardamomhill
