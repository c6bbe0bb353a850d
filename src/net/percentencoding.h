#pragma once

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Encodes a text for one segment of a path, or one value of a query: bytes that are not unreserved (RFC 3986, section
/// 2.3) become %XX.
std::string percentEncoded(std::string_view text);

} // namespace Cardamomhill
