#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/messagereader.h"
#include "net/neterror.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A client connection that carries one HTTP request at a time and reads the answer piece by piece.
class HttpClientConnection
{
public:
    using Head = AnswerReader::Head;

    explicit HttpClientConnection(asio::io_context &context, std::size_t readBufferBytes = DefaultReadBufferBytes);

    /// Sets how many bytes of answers may wait to be read, before the connection is opened. 0 leaves that to the
    /// kernel.
    void setReceiveQueueBytes(std::size_t bytes);

    /// Connects. On failure no part of a request was sent.
    Task<Result<void, NetError>> connect(const tcp::endpoint &endpoint, Milliseconds timeout);

    /// Sends the request and reads the head (status line and headers) of the answer.
    Task<Result<void, NetError>> start(HttpRequest request, Milliseconds timeout);

    /// As above, with a body that stays where it is. It must live until the answer's head has been read.
    Task<Result<void, NetError>>
    start(HttpRequest::header_type requestHead, std::string_view body, Milliseconds timeout);

    /// Discards the rest of the current answer and reads the head of the next one. For use when the current answer
    /// belongs to an earlier request, which the server answered twice.
    Task<Result<void, NetError>> discardAnswer(Milliseconds timeout);

    unsigned status() const;
    std::string contentType() const;
    const Head &head() const;

    /// Returns the next piece of the body, or nothing once the body is complete. Fails at once if the timeout is not
    /// positive.
    Task<Result<std::optional<std::string>, NetError>> readSome(Milliseconds timeout);

    /// Whether the end of the body is the end of the connection, because the answer states neither a length nor chunks.
    bool endsWithConnection() const;

    /// Closes the connection at once, by which the server learns that the request is cancelled.
    void cancel();

    /// Whether the answer is complete and the server keeps the connection open for another request.
    bool isReusable() const;

    /// Whether a kept-alive connection is still open and nothing was received on it since the last answer.
    bool isOpenAndIdle();

    /// Prepares the connection for another request.
    void reset();

private:
    static constexpr std::size_t DefaultReadBufferBytes = 16 * 1024;

    template<class Request>
    Task<Result<void, NetError>> sendAndReadHead(const Request &request, Milliseconds timeout);
    Task<Result<void, NetError>> readHead(Milliseconds timeout);

    beast::tcp_stream m_stream;
    std::size_t m_receiveQueueBytes = 0;
    AnswerReader m_reader;
    /// Whether an answer to the last request has a body.
    bool m_hasBody = true;
};

} // namespace Cardamomhill
