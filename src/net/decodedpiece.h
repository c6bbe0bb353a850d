#pragma once

#include <cstddef>
#include <string_view>

namespace Cardamomhill
{

/// The result of decoding some input.
struct DecodedPiece {
    /// How many bytes of the input were decoded.
    std::size_t consumed = 0;
    /// The bytes of the body among them, a part of the input; may be empty.
    std::string_view data;
};

} // namespace Cardamomhill
