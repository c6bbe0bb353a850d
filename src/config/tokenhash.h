#pragma once

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// SHA-256 of a bearer token in lower-case hexadecimal, as organisations store it.
std::string tokenHash(std::string_view token);

} // namespace Cardamomhill
