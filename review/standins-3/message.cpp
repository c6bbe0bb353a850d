#include "message.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace
{

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

long long nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleepMs(long long time)
{
    if (time > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
    }
}

const char *nameOf(AnswerEnd end)
{
    switch (end) {
    case AnswerEnd::Complete:
        return "complete";
    case AnswerEnd::Broken:
        return "broken";
    case AnswerEnd::Malformed:
        return "malformed";
    case AnswerEnd::TimedOut:
        return "timed-out";
    case AnswerEnd::NotConnected:
        return "not-connected";
    }
    return "";
}

std::string MessageHead::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int MessageHead::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::string MessageHead::path() const
{
    const auto first = startLine.find(' ');
    const auto second = startLine.find(' ', first + 1);
    return first == std::string::npos ? std::string() : startLine.substr(first + 1, second - first - 1);
}

MessageReader::MessageReader(const Socket &socket)
    : m_socket(socket)
{
}

bool MessageReader::fill(long long deadline)
{
    const auto left = std::max(0LL, deadline - nowMs());
    const int received = m_socket.receive(m_buffer, static_cast<int>(left));
    m_isTimedOut = received < 0;
    return received > 0;
}

std::optional<MessageHead> MessageReader::readHead(int timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    auto end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    MessageHead head;
    std::size_t position = 0;
    bool isFirst = true;
    while (position < end) {
        const auto lineEnd = std::min(m_buffer.find("\r\n", position), end);
        const auto line = m_buffer.substr(position, lineEnd - position);
        position = lineEnd + 2;
        if (isFirst) {
            head.startLine = line;
            isFirst = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            head.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    m_buffer.erase(0, end + 4);
    return head;
}

std::optional<std::string> MessageReader::readBody(std::size_t length, int timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    while (m_buffer.size() < length) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    auto body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return body;
}

Answer MessageReader::readAnswer(int timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    Answer answer;
    const auto head = readHead(timeoutMs);
    answer.end = m_isTimedOut ? AnswerEnd::TimedOut : AnswerEnd::Broken;
    if (!head) {
        return answer;
    }
    answer.head = *head;
    answer.hasHead = true;
    if (!answer.head.startLine.starts_with("HTTP/1.")) {
        answer.end = AnswerEnd::Malformed;
        return answer;
    }
    if (answer.head.header("transfer-encoding") == "chunked") {
        readChunks(answer, deadline);
        return answer;
    }
    const auto length = static_cast<std::size_t>(std::atoll(answer.head.header("content-length").c_str()));
    while (m_buffer.size() < length && fill(deadline)) { }
    const bool isWhole = m_buffer.size() >= length;
    answer.body = m_buffer.substr(0, length);
    m_buffer.erase(0, answer.body.size());
    answer.end = isWhole ? AnswerEnd::Complete : (m_isTimedOut ? AnswerEnd::TimedOut : AnswerEnd::Broken);
    return answer;
}

void MessageReader::readChunks(Answer &answer, long long deadline)
{
    while (true) {
        auto lineEnd = m_buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (!fill(deadline)) {
                answer.end = m_isTimedOut ? AnswerEnd::TimedOut : AnswerEnd::Broken;
                return;
            }
            lineEnd = m_buffer.find("\r\n");
        }
        const auto line = m_buffer.substr(0, lineEnd);
        if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            answer.end = AnswerEnd::Malformed;
            return;
        }
        const auto size = static_cast<std::size_t>(std::strtoull(line.c_str(), nullptr, 16));
        const auto needed = lineEnd + 2 + size + 2;
        while (m_buffer.size() < needed) {
            if (!fill(deadline)) {
                answer.end = m_isTimedOut ? AnswerEnd::TimedOut : AnswerEnd::Broken;
                return;
            }
        }
        if (m_buffer.compare(lineEnd + 2 + size, 2, "\r\n") != 0) {
            answer.end = AnswerEnd::Malformed;
            return;
        }
        answer.body += m_buffer.substr(lineEnd + 2, size);
        m_buffer.erase(0, needed);
        if (size == 0) {
            answer.end = AnswerEnd::Complete;
            return;
        }
    }
}
