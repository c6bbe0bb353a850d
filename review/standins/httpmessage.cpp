#include "httpmessage.h"

#include "socket.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace Review
{

namespace
{

/// Reads until the buffer has the text; its position, or nothing if the connection ends.
std::optional<std::size_t> readUntil(const Socket &socket, std::string &buffer, const std::string &text)
{
    auto position = buffer.find(text);
    while (position == std::string::npos) {
        if (!socket.readSome(buffer)) {
            return std::nullopt;
        }
        position = buffer.find(text);
    }
    return position;
}

/// Moves a number of bytes from the buffer, which reads fill, to the end of a text.
bool take(const Socket &socket, std::string &buffer, std::size_t count, std::string &text)
{
    while (buffer.size() < count) {
        if (!socket.readSome(buffer)) {
            return false;
        }
    }
    text.append(buffer, 0, count);
    buffer.erase(0, count);
    return true;
}

bool readChunks(const Socket &socket, std::string &buffer, std::string &body)
{
    while (true) {
        const auto end = readUntil(socket, buffer, "\r\n");
        if (!end) {
            return false;
        }
        const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
        buffer.erase(0, *end + 2);
        std::string lineEnd;
        if (!take(socket, buffer, size, body) || !take(socket, buffer, 2, lineEnd)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

void addHeader(HttpMessage &message, std::string_view line)
{
    const auto colon = std::min(line.find(':'), line.size());
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    line.remove_prefix(std::min(colon + 1, line.size()));
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    message.headers[name] = line;
}

} // namespace

std::string HttpMessage::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpMessage::target() const
{
    const auto start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

int HttpMessage::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space);
}

std::optional<HttpMessage> readMessage(const Socket &socket, std::string &buffer)
{
    const auto end = readUntil(socket, buffer, "\r\n\r\n");
    if (!end) {
        return std::nullopt;
    }
    HttpMessage message;
    std::string_view head = std::string_view(buffer).substr(0, *end);
    message.startLine = head.substr(0, head.find("\r\n"));
    for (auto next = head.find("\r\n"); next != std::string_view::npos; next = head.find("\r\n")) {
        head.remove_prefix(next + 2);
        addHeader(message, head.substr(0, head.find("\r\n")));
    }
    buffer.erase(0, *end + 4);
    const bool isChunked = message.header("transfer-encoding") == "chunked";
    const auto length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    const bool isWhole
        = isChunked ? readChunks(socket, buffer, message.body) : take(socket, buffer, length, message.body);
    return isWhole ? std::optional(std::move(message)) : std::nullopt;
}

std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace Review
