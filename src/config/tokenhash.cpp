#include "config/tokenhash.h"

#include <array>

#include <openssl/sha.h>

namespace Cardamomhill
{

std::string tokenHash(std::string_view token)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex += Digits[byte >> 4U];
        hex += Digits[byte & 0xfU];
    }
    return hex;
}

} // namespace Cardamomhill
