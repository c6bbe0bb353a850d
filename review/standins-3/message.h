#pragma once

#include "socket.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// The head of a request or of an answer. Names of headers are in lower case.
struct MessageHead {
    std::string startLine;
    std::map<std::string, std::string> headers;

    std::string header(const std::string &name) const;
    /// Of an answer; 0 if it is malformed.
    int status() const;
    /// Of a request.
    std::string path() const;
};

/// How an answer ended for its reader.
enum class AnswerEnd {
    Complete,
    /// The connection ended before the end of the answer.
    Broken,
    /// Bytes that are no answer in HTTP.
    Malformed,
    TimedOut,
    /// The connection could not be opened.
    NotConnected,
};

const char *nameOf(AnswerEnd end);

struct Answer {
    MessageHead head;
    std::string body;
    AnswerEnd end = AnswerEnd::NotConnected;
    bool hasHead = false;
};

/// Reads messages from a socket.
class MessageReader
{
public:
    explicit MessageReader(const Socket &socket);

    /// Nothing at the end of the connection or once the time is over.
    std::optional<MessageHead> readHead(int timeoutMs);
    /// Reads a body of this length. Nothing if it does not arrive.
    std::optional<std::string> readBody(std::size_t length, int timeoutMs);
    Answer readAnswer(int timeoutMs);

private:
    bool fill(long long deadline);
    void readChunks(Answer &answer, long long deadline);

    const Socket &m_socket;
    std::string m_buffer;
    bool m_isTimedOut = false;
};

/// A steady clock in milliseconds.
long long nowMs();
void sleepMs(long long time);
