#include "../standins/deployment.h"
#include "../standins/httpmessage.h"
#include "../standins/socket.h"
#include "../standins/spoiledanswers.h"

#include <iostream>

namespace Review
{

namespace
{

constexpr std::size_t TrailerBytes = 70'000;
constexpr int StatusOk = 200;

bool writeSound(Socket &socket, const std::string &requestId)
{
    return socket.write(answerText(StatusOk, answerHeaders(requestId), "done"));
}

/// An answer in chunks with wrong bytes at its end: a long line after the last chunk.
bool writeSpoiled(Socket &socket, const std::string &requestId)
{
    return socket.write("HTTP/1.1 200 OK\r\n" + answerHeaders(requestId)
                        + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX: " + std::string(TrailerBytes, 'x')
                        + "\r\n\r\n");
}

} // namespace

} // namespace Review

/// Usage: case-2 DIRECTORY RECORD TROUBLE
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-2 DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    const bool hasTrouble = std::string(argv[3]) != "0";
    return static_cast<int>(
        Review::playSpoiledAnswers(argv[1], argv[2], hasTrouble, &Review::writeSound, &Review::writeSpoiled));
}
