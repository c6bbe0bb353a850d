#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A method and path prefix for which a plain service allows calls to be repeated.
struct IdempotentCall {
    std::string method;
    std::string pathPrefix;

    /// Whether the method is equal and the path is the prefix, alone or followed by '/' or '?'.
    bool matches(std::string_view requestMethod, std::string_view path) const;

    bool operator==(const IdempotentCall &) const = default;
};

/// Parses "METHOD /path"; nothing if the text has another form.
std::optional<IdempotentCall> parseIdempotentCall(std::string_view text);

} // namespace Cardamomhill
