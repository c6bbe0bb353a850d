#include "net/address.h"

#include <charconv>

namespace Cardamomhill
{

namespace
{

/// The address without the brackets of IPv6.
std::string withoutBrackets(const std::string &address)
{
    const bool hasBrackets = address.size() > 2 && address.front() == '[' && address.back() == ']';
    return hasBrackets ? address.substr(1, address.size() - 2) : address;
}

} // namespace

std::optional<tcp::endpoint> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    SystemError error;
    const auto address = asio::ip::make_address(withoutBrackets(text.substr(0, colon)), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

} // namespace Cardamomhill
