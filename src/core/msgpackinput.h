#pragma once

#include <cstddef>
#include <string_view>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Unpacks one msgpack object and sets `offset` to its end. Rejects a container whose stated size exceeds the number of
/// bytes in the input, since msgpack by itself reserves memory for the stated size. Throws msgpack's exceptions.
inline msgpack::object_handle unpackObject(std::string_view bytes, std::size_t &offset)
{
    /// Valid messages have only a few levels.
    constexpr std::size_t MaxNestingDepth = 32;
    const auto maxElements = bytes.size();
    const msgpack::unpack_limit limit(maxElements, maxElements, maxElements, maxElements, maxElements, MaxNestingDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
}

inline msgpack::object_handle unpackObject(std::string_view bytes)
{
    std::size_t offset = 0;
    return unpackObject(bytes, offset);
}

} // namespace Cardamomhill
