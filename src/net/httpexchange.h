#pragma once

#include "net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

struct HttpLimits;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request and the means to answer it, whole or in chunks.
class HttpExchange
{
public:
    /// @param closing whether the server closes its connections after their answers, read when an answer begins;
    /// without it this connection closes in any case
    HttpExchange(beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits, const bool *closing);

    const HttpRequest &request() const;

    /// Hands the request over, so that its body is not copied.
    HttpRequest takeRequest();

    /// Ends the answer and the connection at once, so that the caller sees a broken answer.
    void abort();

    /// Answers in one piece. Returns false when the caller is gone.
    Task<bool> sendWhole(unsigned status, std::string contentType, std::string body, HttpHeaders headers = {});

    /// Starts a chunked answer.
    Task<bool> beginChunks(unsigned status, std::string contentType, HttpHeaders headers = {});
    Task<bool> sendChunk(std::string_view data);
    /// Ends a chunked answer properly. Without it the caller sees a broken answer.
    Task<bool> endChunks();

    /// Calls the handler when the caller closes its connection before the answer has ended.
    void watchDisconnect(std::function<void()> handler);
    void stopWatching();

    /// The answer has ended properly and the connection can carry another request.
    bool isReusable() const;

    bool hasBegun() const;

private:
    struct Watch;

    bool decideKeepAlive();

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    const HttpLimits &m_limits;
    const bool *m_closing;
    unsigned m_version;
    /// Decided when the answer begins.
    bool m_keepAlive;
    bool m_hasBegun = false;
    bool m_isComplete = false;
    std::shared_ptr<Watch> m_watch;
};

} // namespace Cardamomhill
