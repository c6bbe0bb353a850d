#include "net/chunkdecoder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

struct Decoded {
    std::string body;
    /// Input after the end of the body.
    std::string rest;
    bool isDone = false;
    bool hasFailed = false;
};

/// Decodes input that arrives in pieces of the given size.
Decoded decodePieces(const std::string &input, std::size_t pieceBytes)
{
    ChunkDecoder decoder;
    Decoded decoded;
    std::string received;
    std::size_t sent = 0;
    while (!decoder.isDone() && !decoded.hasFailed && (sent < input.size() || !received.empty())) {
        const auto piece = decoder.decode(received);
        decoded.hasFailed = piece.has_error();
        if (piece.has_value()) {
            decoded.body += piece.value().data;
            received.erase(0, piece.value().consumed);
        }
        if (received.empty() && sent < input.size() && !decoder.isDone()) {
            received = input.substr(sent, pieceBytes);
            sent += received.size();
        }
    }
    decoded.isDone = decoder.isDone();
    decoded.rest = received + input.substr(std::min(sent, input.size()));
    return decoded;
}

Decoded decodeAll(const std::string &input)
{
    return decodePieces(input, std::max<std::size_t>(1, input.size()));
}

std::string hexOf(std::size_t value)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    do {
        text.insert(text.begin(), Digits[value % Digits.size()]);
        value /= Digits.size();
    } while (value > 0);
    return text;
}

} // namespace

TEST_CASE("a body in chunks is decoded alike wherever the input is cut")
{
    CHECK(rc::check([](const std::vector<std::string> &chunks, bool hasExtensions, bool hasTrailer) {
        std::string input;
        std::string body;
        for (const auto &chunk : chunks) {
            if (!chunk.empty()) {
                input += hexOf(chunk.size()) + (hasExtensions ? " ;name=\"value\"" : "") + "\r\n" + chunk + "\r\n";
                body += chunk;
            }
        }
        input += std::string(hasExtensions ? "000" : "0") + "\r\n" + (hasTrailer ? "X-Name: value\r\nY:\r\n" : "")
            + "\r\n";
        const auto pieceBytes = *rc::gen::inRange<std::size_t>(1, input.size() + 2);
        const auto decoded = decodePieces(input + "HTTP", pieceBytes);
        RC_ASSERT(decoded.isDone);
        RC_ASSERT(decoded.body == body);
        RC_ASSERT(decoded.rest == "HTTP");
    }));
}

TEST_CASE("bytes that are no body in chunks are refused, wherever they begin")
{
    for (const std::string input : {"x",
                                    "\r\n",
                                    ";a\r\n",
                                    "-1\r\n",
                                    "0x1\r\n",
                                    "1\nx",
                                    "1\rx",
                                    "1\r\nxx\r\n",
                                    "1\r\nx\n0\r\n\r\n",
                                    "1;a\nb\r\n",
                                    "1;a\rb\r\n",
                                    "0\r\n\n",
                                    "0\r\nno name\r\n\r\n",
                                    "0\r\n folded: x\r\n\r\n",
                                    "0\r\nX: a\nY: b\r\n\r\n",
                                    "0\r\n\rx",
                                    "10000000000000000\r\n",
                                    "ffffffffffffffffff\r\n"}) {
        CAPTURE(input);
        const auto decoded = decodeAll(input);
        CHECK(decoded.hasFailed);
        CHECK_FALSE(decoded.isDone);
        CHECK(decodePieces(input, 1).hasFailed);
    }
}

TEST_CASE("changed bytes never make a decoder consume more than it was given or go on after the end")
{
    CHECK(rc::check([](std::string input) {
        const std::string valid = "5;e=1\r\nhello\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n";
        input = *rc::gen::element(input, valid);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, input.size() + 1),
                          rc::gen::element('\r', '\n', '0', 'f', ';', ':', ' ', '\0', 'x')));
        for (const auto &[position, byte] : changes) {
            if (position < input.size()) {
                input[position] = byte;
            }
        }
        const auto whole = decodeAll(input);
        const auto bytewise = decodePieces(input, 1);
        RC_ASSERT(whole.isDone == bytewise.isDone);
        RC_ASSERT(whole.hasFailed == bytewise.hasFailed);
        RC_ASSERT(whole.body == bytewise.body);
        RC_ASSERT(!whole.isDone || whole.rest == bytewise.rest);
        RC_ASSERT(whole.body.size() <= input.size());
    }));
}

TEST_CASE("trailer fields are limited in length")
{
    const std::string field = "X: " + std::string(1000, 'x') + "\r\n";
    std::string fields;
    for (int i = 0; i < 8; ++i) {
        fields += field;
    }
    CHECK(decodeAll("0\r\n" + fields + "\r\n").isDone);
    const auto refused = decodeAll("0\r\n" + fields + field + "\r\n");
    CHECK(refused.hasFailed);
}
