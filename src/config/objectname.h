#pragma once

#include <string_view>

namespace Cardamomhill::internal
{

inline constexpr std::string_view AcceptedObjectNames = "1 to 63 letters, digits, '-', '_' or '.'";

/// Whether a name is accepted: names appear in URL paths and log lines, so they may have only characters that need no
/// escaping.
bool isValidObjectName(std::string_view name);

} // namespace Cardamomhill::internal
