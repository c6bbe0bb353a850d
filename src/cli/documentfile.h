#pragma once

#include "cli/documentfileerror.h"
#include "core/result.h"

#include <string>

namespace Cardamomhill::internal
{

/// Stands for standard input in place of a path.
constexpr const char *StandardInput = "-";

/// Reads a whole file or standard input.
Result<std::string, DocumentFileError> readDocumentFile(const std::string &path);

} // namespace Cardamomhill::internal
