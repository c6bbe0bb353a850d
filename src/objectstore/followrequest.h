#pragma once

#include "core/clocktypes.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cardamomhill
{

/// `GET /watch?since=<since>&timeout_ms=<timeout>`.
struct WatchRequest {
    std::uint64_t request = 0;
    std::uint64_t since = 0;
    Milliseconds timeout{0};
};

/// `GET /objects/<kind>`.
struct ListRequest {
    std::uint64_t request = 0;
    std::string kind;
};

using FollowRequest = std::variant<WatchRequest, ListRequest>;

} // namespace Cardamomhill
