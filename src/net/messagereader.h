#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/bodydecoder.h"
#include "net/neterror.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Reads HTTP messages of one direction from a connection, one after the other. Whatever the peer sends, it keeps at
/// most a head within its limit and the bytes of one read, and fails with a typed error.
///
/// Boost.Beast parses the heads only: its parser for bodies in chunks asserts on some well-formed input, throws on long
/// trailer fields and keeps lines of any length.
template<bool isRequest>
class MessageReader
{
public:
    using Head = boost::beast::http::header<isRequest>;

    /// The stream must outlive this object.
    /// @param readBytes largest number of bytes of one read
    MessageReader(beast::tcp_stream &stream, std::size_t readBytes);
    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /// Waits for bytes, without reading a message. Fails once the peer has closed the connection.
    Task<Result<void, NetError>> receive();

    /// Reads the head of the next message. Fails for an answer in which a line begins with a blank.
    /// @param headerBytes fails if the head is longer
    /// @param bodyBytes fails if the head states a longer body
    /// @param hasBody false if the message has no body whatever its head says, as an answer to HEAD
    Task<Result<void, NetError>> readHead(std::uint32_t headerBytes, std::uint64_t bodyBytes, bool hasBody = true);

    /// Decodes bytes of the body that were received already, up to the end of the next data among them; may be empty.
    Result<std::string, NetError> decodeReceived();

    /// Decodes all bytes of the body that were received already and appends its data. Appends nothing beyond the limit
    /// and fails then.
    Result<void, NetError> appendReceived(std::string &body, std::size_t maxBytes);

    /// Receives more bytes of the body, or its end if that is the end of the connection.
    Task<Result<void, NetError>> receiveBody();

    const Head &head() const;
    Head takeHead();

    /// Whether the whole message was read.
    bool isDone() const;

    /// Whether the end of the body is the end of the connection.
    bool endsWithConnection() const;

    /// Whether the message allows another one on the connection.
    bool keepsAlive() const;

    /// Length of the body that the head states, if it states one.
    std::optional<std::uint64_t> statedLength() const;

    /// Bytes that were received and not decoded yet.
    std::size_t unreadBytes() const;

    /// Whether bytes were received that do not belong to the messages read so far.
    bool hasUnreadBytes() const;

    /// Forgets the last message, but not bytes that follow it.
    void reset();

private:
    using Parser = boost::beast::http::parser<isRequest, boost::beast::http::empty_body>;

    bool shouldParse();
    bool hasFoldedLine() const;
    Result<bool, NetError> parseHead();
    BodyDecoder::Framing framing() const;

    beast::tcp_stream &m_stream;
    std::size_t m_readBytes;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::size_t m_headerLimit = 0;
    /// Bytes of the buffer that don't contain the end of the head.
    std::size_t m_scannedBytes = 0;
    std::optional<BodyDecoder> m_body;
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

} // namespace Cardamomhill
