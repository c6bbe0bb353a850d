#include "net/percentencoding.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

bool isUnreservedByte(char byte)
{
    constexpr std::string_view Marks = "-._~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || Marks.find(byte) != std::string_view::npos;
}

} // namespace

bool isUnreserved(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isUnreservedByte);
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789ABCDEF";
    constexpr unsigned HexBase = 16;
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        if (isUnreservedByte(byte)) {
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
