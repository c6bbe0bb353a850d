#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A method and path prefix whose calls a plain service allows to be repeated.
struct IdempotentCall {
    std::string method;
    std::string pathPrefix;

    /// True for the method when the path equals the prefix or continues it at a '/' or '?'.
    bool matches(std::string_view requestMethod, std::string_view path) const;

    bool operator==(const IdempotentCall &) const = default;
};

/// Reads "METHOD /path".
std::optional<IdempotentCall> parseIdempotentCall(std::string_view text);

} // namespace Cardamomhill
