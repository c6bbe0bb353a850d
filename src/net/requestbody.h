#pragma once

#include "net/bodygrant.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// The body of a request while it arrives.
struct RequestBody {
    std::string bytes;
    /// Memory that the fields of the request's head take, if they are many; counted with the body.
    std::size_t headBytes = 0;
    /// Set while the budget counts the body.
    std::optional<BodyId> id;
    /// What the budget has granted for the bytes.
    std::size_t grantedBytes = 0;
    /// The body gave way to another one: its bytes are gone, and its request is to be refused.
    bool isDropped = false;
    /// Ends the current read of the body, if there is one.
    std::function<void()> cancelRead;
};

} // namespace Cardamomhill
