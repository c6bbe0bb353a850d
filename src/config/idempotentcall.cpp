#include "config/idempotentcall.h"

namespace Cardamomhill
{

bool IdempotentCall::matches(std::string_view requestMethod, std::string_view path) const
{
    if (requestMethod != method || path.substr(0, pathPrefix.size()) != pathPrefix) {
        return false;
    }
    if (path.size() == pathPrefix.size() || pathPrefix.back() == '/') {
        return true;
    }
    const char next = path[pathPrefix.size()];
    return next == '/' || next == '?';
}

std::optional<IdempotentCall> parseIdempotentCall(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos || space == 0) {
        return std::nullopt;
    }
    const auto path = text.substr(space + 1);
    if (path.empty() || path.front() != '/' || path.find(' ') != std::string_view::npos) {
        return std::nullopt;
    }
    return IdempotentCall{std::string(text.substr(0, space)), std::string(path)};
}

} // namespace Cardamomhill
