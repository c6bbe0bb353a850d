#include "net/messagereader.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <stdexcept>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

/// Most heads are shorter, and a malformed beginning is refused before the rest arrives.
constexpr std::size_t MaxPartialHeadBytes = 1024;

NetError readError(const SystemError &error)
{
    if (error == beast::error::timeout) {
        return {NetErrorCode::TimedOut, error.message()};
    }
    if (error == asio::error::operation_aborted) {
        return {NetErrorCode::Cancelled, error.message()};
    }
    return {NetErrorCode::ReadFailed, error.message()};
}

NetError parseError(const SystemError &error)
{
    if (error == http::error::header_limit) {
        return {NetErrorCode::HeaderTooLarge, error.message()};
    }
    if (error == http::error::body_limit) {
        return {NetErrorCode::BodyTooLarge, error.message()};
    }
    return {NetErrorCode::MalformedMessage, error.message()};
}

} // namespace

template<bool isRequest>
MessageReader<isRequest>::MessageReader(beast::tcp_stream &stream, std::size_t readBytes)
    : m_stream(stream)
    , m_readBytes(readBytes)
{
}

template<bool isRequest>
Task<Result<void, NetError>> MessageReader<isRequest>::receive()
{
    SystemError error;
    const auto space = m_buffer.prepare(m_readBytes);
    const auto size = co_await m_stream.async_read_some(space, storeError(error));
    m_buffer.commit(size);
    if (error == asio::error::eof) {
        co_return failure(NetError{NetErrorCode::Closed, SystemError(http::error::end_of_stream).message()});
    }
    if (error) {
        co_return failure(readError(error));
    }
    co_return success();
}

template<bool isRequest>
Task<Result<void, NetError>>
MessageReader<isRequest>::readHead(std::uint32_t headerBytes, std::uint64_t bodyBytes, bool hasBody)
{
    m_body.reset();
    m_parser.emplace();
    m_parser->header_limit(headerBytes);
    m_headerLimit = headerBytes;
    m_scannedBytes = 0;
    m_parser->body_limit(bodyBytes);
    m_parser->skip(!hasBody);
    for (;;) {
        const auto parsed = parseHead();
        if (parsed.has_error()) {
            co_return failure(parsed.error());
        }
        if (parsed.value()) {
            m_body.emplace(framing());
            co_return success();
        }
        auto received = co_await receive();
        if (received.has_error() && received.error().code == NetErrorCode::Closed
            && (m_parser->got_some() || m_buffer.size() > 0)) {
            co_return failure(NetError{NetErrorCode::ReadFailed, SystemError(http::error::partial_message).message()});
        }
        if (received.has_error()) {
            co_return failure(received.error());
        }
    }
}

/// Whether to parse what was received of a head. The parser takes many times the bytes of short fields, so it gets a
/// long head only as a whole or once it is over the limit.
template<bool isRequest>
bool MessageReader<isRequest>::shouldParse()
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    const auto received = m_buffer.data();
    const std::string_view bytes(static_cast<const char *>(received.data()), received.size());
    if ((bytes.size() <= MaxPartialHeadBytes && m_scannedBytes == 0 && !m_parser->got_some())
        || bytes.size() >= m_headerLimit || bytes.starts_with(HeadEnd.substr(2))) {
        return true;
    }
    // The end may begin in what was scanned before.
    const auto start = m_scannedBytes - std::min(m_scannedBytes, HeadEnd.size() - 1);
    m_scannedBytes = bytes.size();
    return bytes.find(HeadEnd, start) != std::string_view::npos;
}

/// Whether a line of the head that has not been parsed yet begins with a blank. The parser joins such a line to the
/// value of the line before. It leaves a field in the buffer until the next line has begun, so none is missed.
template<bool isRequest>
bool MessageReader<isRequest>::hasFoldedLine() const
{
    constexpr std::string_view LineEnd = "\r\n";
    const auto received = m_buffer.data();
    std::string_view rest(static_cast<const char *>(received.data()), received.size());
    while (!rest.empty() && !rest.starts_with(LineEnd)) {
        if (rest.starts_with(' ') || rest.starts_with('\t')) {
            return true;
        }
        const auto end = rest.find(LineEnd);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + LineEnd.size());
    }
    return false;
}

/// Returns whether the head is complete.
template<bool isRequest>
Result<bool, NetError> MessageReader<isRequest>::parseHead()
{
    if (m_buffer.size() == 0) {
        return false;
    }
    if (isRequest && !shouldParse()) {
        return false;
    }
    // RFC 9112, section 5.2, lets a gateway refuse such an answer.
    if (!isRequest && hasFoldedLine()) {
        return failure(NetError{NetErrorCode::MalformedMessage, "a line of the head begins with a blank"});
    }
    SystemError error;
    m_scannedBytes = 0;
    try {
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    } catch (const std::length_error &exception) {
        // A field is longer than the parser can keep, which is less than some limits for the head allow.
        return failure(NetError{NetErrorCode::HeaderTooLarge, exception.what()});
    }
    if (error && error != http::error::need_more) {
        return failure(parseError(error));
    }
    return m_parser->is_header_done();
}

template<bool isRequest>
BodyDecoder::Framing MessageReader<isRequest>::framing() const
{
    if (m_parser->is_done()) {
        return FixedLengthBody();
    }
    if (m_parser->chunked()) {
        return ChunkDecoder();
    }
    if (const auto length = m_parser->content_length()) {
        return FixedLengthBody{*length};
    }
    return BodyUntilClose();
}

template<bool isRequest>
Result<std::string, NetError> MessageReader<isRequest>::decodeReceived()
{
    const auto received = m_buffer.data();
    const auto piece = m_body->decode({static_cast<const char *>(received.data()), received.size()});
    if (piece.has_error()) {
        return failure(piece.error());
    }
    std::string data(piece.value().data);
    m_buffer.consume(piece.value().consumed);
    return data;
}

template<bool isRequest>
Result<void, NetError> MessageReader<isRequest>::appendReceived(std::string &body, std::size_t maxBytes)
{
    const auto received = m_buffer.data();
    std::string_view rest(static_cast<const char *>(received.data()), received.size());
    while (!rest.empty() && !m_body->isDone()) {
        const auto piece = m_body->decode(rest);
        if (piece.has_error()) {
            return failure(piece.error());
        }
        if (body.size() + piece.value().data.size() > maxBytes) {
            return failure(NetError{NetErrorCode::BodyTooLarge, "the body is over the limit"});
        }
        body += piece.value().data;
        rest.remove_prefix(piece.value().consumed);
    }
    m_buffer.consume(received.size() - rest.size());
    return success();
}

template<bool isRequest>
Task<Result<void, NetError>> MessageReader<isRequest>::receiveBody()
{
    auto received = co_await receive();
    if (received.has_error() && received.error().code == NetErrorCode::Closed) {
        co_return m_body->close();
    }
    co_return received;
}

template<bool isRequest>
const typename MessageReader<isRequest>::Head &MessageReader<isRequest>::head() const
{
    return m_parser->get().base();
}

template<bool isRequest>
typename MessageReader<isRequest>::Head MessageReader<isRequest>::takeHead()
{
    return std::move(m_parser->get().base());
}

template<bool isRequest>
bool MessageReader<isRequest>::isDone() const
{
    return m_body && m_body->isDone();
}

template<bool isRequest>
bool MessageReader<isRequest>::endsWithConnection() const
{
    return m_parser->need_eof();
}

template<bool isRequest>
bool MessageReader<isRequest>::keepsAlive() const
{
    return m_parser->keep_alive();
}

template<bool isRequest>
std::optional<std::uint64_t> MessageReader<isRequest>::statedLength() const
{
    const auto length = m_parser->content_length();
    return length && !m_parser->chunked() ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template<bool isRequest>
std::size_t MessageReader<isRequest>::unreadBytes() const
{
    return m_buffer.size();
}

template<bool isRequest>
bool MessageReader<isRequest>::hasUnreadBytes() const
{
    return m_buffer.size() > 0;
}

template<bool isRequest>
void MessageReader<isRequest>::reset()
{
    m_parser.reset();
    m_body.reset();
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace Cardamomhill
