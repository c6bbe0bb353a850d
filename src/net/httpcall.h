#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/neterror.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// One HTTP request to a server whose answer is read piece by piece.
class HttpCall
{
public:
    explicit HttpCall(asio::io_context &context);

    /// Connects. A failure here means that nothing was sent.
    Task<Result<void, NetError>> connect(const tcp::endpoint &endpoint, Milliseconds timeout);

    /// Sends the request and waits for the head of the answer.
    Task<Result<void, NetError>> start(HttpRequest request, Milliseconds timeout);

    unsigned status() const;
    std::string contentType() const;

    /// The next piece of the body; nothing when the body ended properly.
    Task<Result<std::optional<std::string>, NetError>> readSome(Milliseconds timeout);

    /// Closes the connection at once, which cancels the request at the server.
    void cancel();

    /// The answer ended properly and the server keeps the connection open.
    bool isReusable() const;

    /// Prepares the connection for another request.
    void reset();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    /// Where pieces of a body land before they are copied at their own size.
    std::vector<char> m_chunk;
    std::optional<Parser> m_parser;
};

} // namespace Cardamomhill
