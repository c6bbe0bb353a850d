#pragma once

#include <boost/beast/http/fields.hpp>

namespace Cardamomhill
{

/// Removes the headers that concern only one connection: Connection and all that it lists, Keep-Alive, framing and
/// upgrades (RFC 9110, section 7.6.1).
void removeConnectionHeaders(boost::beast::http::fields &headers);

} // namespace Cardamomhill
