#pragma once

#include "exitstatus.h"

#include <functional>
#include <string>

namespace Review
{

class Socket;

/// How the server in trouble writes an answer to the request with this id; false if the connection has ended.
using AnswerWriter = std::function<bool(Socket &socket, const std::string &requestId)>;

/// Plays orders at two hosts and two servers, one of which spoils some of its answers at times, and checks LOST.
/// @param directory for settings and logs
/// @param writeSpoiled used for one in fifty answers while the server is in trouble
ExitStatus playSpoiledAnswers(const std::string &directory,
                              const std::string &recordPath,
                              bool hasTrouble,
                              const AnswerWriter &writeSound,
                              const AnswerWriter &writeSpoiled);

} // namespace Review
