#include "standins/storetarget.h"

#include <algorithm>
#include <charconv>

namespace Cardamomhill
{

namespace
{

/// Decodes %XX. An escape that is not two hexadecimal digits stays as it is.
std::string decoded(std::string_view text)
{
    constexpr int HexBase = 16;
    std::string result;
    for (std::size_t position = 0; position < text.size(); ++position) {
        unsigned char byte = 0;
        const auto digits = text.substr(position).substr(0, 3);
        const auto *const end = digits.data() + digits.size();
        if (digits.size() == 3 && digits[0] == '%'
            && std::from_chars(digits.data() + 1, end, byte, HexBase).ptr == end) {
            result += static_cast<char>(byte);
            position += 2;
        } else {
            result += text[position];
        }
    }
    return result;
}

std::string decodedField(std::string text)
{
    for (auto &character : text) {
        character = character == '+' ? ' ' : character;
    }
    return decoded(text);
}

/// Removes and returns the part up to the separator, which is removed too.
std::string_view takePart(std::string_view &text, char separator)
{
    const auto part = text.substr(0, text.find(separator));
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    return part;
}

} // namespace

StoreTarget::StoreTarget(std::string_view target)
{
    constexpr std::string_view ObjectsPrefix = "/objects/";
    auto rest = takePart(target, '#');
    path = takePart(rest, '?');
    if (path.starts_with(ObjectsPrefix)) {
        auto object = std::string_view(path).substr(ObjectsPrefix.size());
        kind = decoded(takePart(object, '/'));
        name = decoded(object);
    }
    while (!rest.empty()) {
        auto value = takePart(rest, '&');
        const auto field = decodedField(std::string(takePart(value, '=')));
        query[field] = decodedField(std::string(value));
    }
}

std::uint64_t StoreTarget::number(const std::string &field, std::uint64_t defaultValue) const
{
    const auto found = query.find(field);
    std::uint64_t number = defaultValue;
    if (found != query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
    }
    return number;
}

} // namespace Cardamomhill
