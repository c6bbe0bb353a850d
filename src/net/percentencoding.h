#pragma once

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Whether all bytes of a text are unreserved (RFC 3986, section 2.3): letters and digits of ASCII, and - . _ ~
bool isUnreserved(std::string_view text);

/// Encodes a text for one segment of a path, or one value of a query: bytes that are not unreserved become %XX.
std::string percentEncoded(std::string_view text);

} // namespace Cardamomhill
