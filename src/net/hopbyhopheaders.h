#pragma once

#include <boost/beast/http/fields.hpp>

namespace Cardamomhill
{

/// Removes the hop-by-hop headers, which a proxy must not forward: Connection and all headers that it lists,
/// Keep-Alive, and the headers for framing and upgrades (RFC 9110, section 7.6.1).
void removeHopByHopHeaders(boost::beast::http::fields &headers);

} // namespace Cardamomhill
