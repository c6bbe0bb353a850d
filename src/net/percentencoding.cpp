#include "net/percentencoding.h"

namespace Cardamomhill
{

namespace
{

bool isUnreserved(char byte)
{
    constexpr std::string_view Marks = "-._~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || Marks.find(byte) != std::string_view::npos;
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789ABCDEF";
    constexpr unsigned HexBase = 16;
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        if (isUnreserved(byte)) {
            encoded += byte;
            continue;
        }
        const auto code = static_cast<unsigned char>(byte);
        encoded += '%';
        encoded += HexDigits[code / HexBase];
        encoded += HexDigits[code % HexBase];
    }
    return encoded;
}

} // namespace Cardamomhill
