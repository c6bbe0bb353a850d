#include "net/hopbyhopheaders.h"

#include <boost/beast/http/rfc7230.hpp>

#include <string>
#include <vector>

namespace Cardamomhill
{

namespace http = boost::beast::http;

void removeHopByHopHeaders(http::fields &headers)
{
    std::vector<std::string> listed;
    const auto [first, last] = headers.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            listed.emplace_back(token);
        }
    }
    for (const auto &name : listed) {
        headers.erase(name);
    }
    for (const auto field : {http::field::connection,
                             http::field::proxy_connection,
                             http::field::keep_alive,
                             http::field::te,
                             http::field::trailer,
                             http::field::transfer_encoding,
                             http::field::upgrade,
                             http::field::content_length,
                             http::field::expect}) {
        headers.erase(field);
    }
}

} // namespace Cardamomhill
