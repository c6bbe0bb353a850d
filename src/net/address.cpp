#include "net/address.h"

#include "core/parsenumber.h"

namespace Cardamomhill
{

namespace
{

/// Strips the brackets that may surround an IPv6 address.
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
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1)).value_or(0);
    SystemError error;
    const auto address = asio::ip::make_address(withoutBrackets(text.substr(0, colon)), error);
    if (error || port == 0) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

} // namespace Cardamomhill
