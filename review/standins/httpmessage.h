#pragma once

#include <map>
#include <optional>
#include <string>

namespace Review
{

class Socket;

/// A request or an answer that was read whole.
struct HttpMessage {
    std::string startLine;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    /// The second word of a request's start line.
    std::string target() const;
    /// The status of an answer.
    int status() const;
};

/// Reads the next message of a connection, whose body has a length, comes in chunks or is empty. Nothing if the
/// connection ends or a read times out before that.
/// @param buffer bytes that were read beyond the previous message
std::optional<HttpMessage> readMessage(const Socket &socket, std::string &buffer);

/// An answer of a server whose body has a length.
/// @param headers lines that end with CRLF
std::string answerText(int status, const std::string &headers, const std::string &body);

} // namespace Review
