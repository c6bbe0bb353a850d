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
    using Head = boost::beast::http::header<false>;

    explicit HttpCall(asio::io_context &context, std::size_t readBytes = DefaultReadBytes);

    /// Connects. A failure here means that nothing was sent.
    Task<Result<void, NetError>> connect(const tcp::endpoint &endpoint, Milliseconds timeout);

    /// Sends the request and waits for the head of the answer.
    Task<Result<void, NetError>> start(HttpRequest request, Milliseconds timeout);

    /// Drops the rest of the present answer and waits for the head of the next one, such as after a server answered an
    /// earlier request a second time.
    Task<Result<void, NetError>> skipAnswer(Milliseconds timeout);

    unsigned status() const;
    std::string contentType() const;
    const Head &head() const;

    /// The next piece of the body; nothing when the body ended properly. Fails at once without a positive timeout.
    Task<Result<std::optional<std::string>, NetError>> readSome(Milliseconds timeout);

    /// Closes the connection at once, which cancels the request at the server.
    void cancel();

    /// The answer ended properly and the server keeps the connection open.
    bool isReusable() const;

    /// Whether a kept connection is still open and nothing has arrived on it since its last answer.
    bool isQuiet();

    /// Prepares the connection for another request.
    void reset();

private:
    static constexpr std::size_t DefaultReadBytes = 16 * 1024;

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Task<Result<void, NetError>> readHead(Milliseconds timeout);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_hasBody = true;
    /// Where pieces of a body land before they are copied at their own size.
    std::vector<char> m_chunk;
    std::optional<Parser> m_parser;
};

} // namespace Cardamomhill
