#pragma once

#include "objectstore/objectkey.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cardamomhill
{

/// `PUT` with `If-Match: <expectedVersion>`, or with `If-None-Match: *` when the expected version is 0.
struct PutRequest {
    std::uint64_t attempt = 0;
    ObjectKey key;
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/// `GET` of one object.
struct GetRequest {
    std::uint64_t attempt = 0;
    ObjectKey key;
};

using WriteRequest = std::variant<PutRequest, GetRequest>;

} // namespace Cardamomhill
