#pragma once

#include "net/asio.h"
#include "net/heldanswer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

class AnswerBudget;
struct HttpLimits;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One HTTP request on the server side. It is answered either with sendAnswer(), or in chunks with
/// beginChunkedAnswer(), sendChunk() and endChunkedAnswer().
///
/// An answer that has no body by its status or the request's method is sent without one, whatever body it is given. A
/// caller with HTTP/1.0, which knows no chunks, gets an answer in chunks as plain data that ends with the connection.
class HttpExchange
{
public:
    /// @param closesAfterAnswer whether the server closes connections after their answers, read when an answer begins;
    /// if null, this connection is closed after its answer
    HttpExchange(beast::tcp_stream &stream,
                 HttpRequest request,
                 const HttpLimits &limits,
                 std::shared_ptr<AnswerBudget> answerBudget,
                 const bool *closesAfterAnswer);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;

    /// Notes that the body of the request was not read, since its head decides that it is refused.
    void setBodySkipped();
    bool isBodySkipped() const;

    /// Moves the request out, so that its body is not copied.
    HttpRequest takeRequest();

    /// Closes the connection at once, so that the caller receives a truncated answer.
    void abort();

    /// Whether so many bytes of the answer may be held in memory, instead of being sent as they arrive. They count
    /// until releaseHeld() or the end of the exchange.
    bool tryHold(std::size_t bytes);
    /// As tryHold(), but ends answers whose callers have stopped reading, if that makes enough room.
    bool tryHoldInsteadOfStalled(std::size_t bytes);
    void releaseHeld();

    /// Sends a whole answer. Returns false if writing failed, such as after the caller closed the connection. So do
    /// beginChunkedAnswer(), sendChunk() and endChunkedAnswer().
    Task<bool> sendAnswer(unsigned status, std::string contentType, std::string body, HttpHeaders headers = {});

    /// Sends the head of a chunked answer.
    Task<bool> beginChunkedAnswer(unsigned status, std::string contentType, HttpHeaders headers = {});
    Task<bool> sendChunk(std::string_view data);
    /// Completes a chunked answer. Without it the caller receives a truncated answer.
    Task<bool> endChunkedAnswer();

    /// Calls the handler if the caller closes its connection before stopWatching().
    void watchDisconnect(std::function<void()> handler);
    void stopWatching();

    /// Whether the answer is complete and the connection can carry another request.
    bool isReusable() const;

    /// Whether an answer was begun or aborted, so that no other can be sent.
    bool hasAnswerBegun() const;

private:
    struct DisconnectWatch;

    /// How the end of the answer's body is marked.
    enum class BodyEnd : std::uint8_t {
        /// There is no body.
        NoBody,
        LastChunk,
        Close,
    };

    /// The size of the pieces in which data is given to the kernel, since it takes each of them whole.
    std::size_t pieceBytes() const;
    Task<bool> writePieces(std::string_view data);
    BodyEnd bodyEndOfChunkedAnswer(unsigned status) const;
    /// Called when an answer begins. Returns whether the connection is kept open after it.
    bool decideKeepAlive();

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    const HttpLimits &m_limits;
    /// Shared, since an exchange may be destroyed after its server, with the coroutine that owns it.
    std::shared_ptr<AnswerBudget> m_answerBudget;
    HeldAnswer m_held;
    const bool *m_closesAfterAnswer;
    unsigned m_version;
    bool m_isBodySkipped = false;
    bool m_isHeadRequest;
    /// Whether the caller asked to keep the connection open; once an answer has begun, whether it is kept.
    bool m_keepAlive;
    bool m_hasAnswerBegun = false;
    /// Of an answer in chunks.
    BodyEnd m_bodyEnd = BodyEnd::LastChunk;
    bool m_isComplete = false;
    std::shared_ptr<DisconnectWatch> m_disconnectWatch;
};

} // namespace Cardamomhill
