#pragma once

#include <cstddef>
#include <string_view>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Reads one msgpack object, which ends at the offset that is returned. A container that states more elements than
/// bytes follow is refused, where msgpack alone would reserve memory for them. Throws what msgpack throws.
inline msgpack::object_handle unpackObject(std::string_view bytes, std::size_t &offset)
{
    /// No message nests deeper than a few levels.
    constexpr std::size_t MostLevels = 32;
    const auto most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, MostLevels);
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
}

inline msgpack::object_handle unpackObject(std::string_view bytes)
{
    std::size_t offset = 0;
    return unpackObject(bytes, offset);
}

} // namespace Cardamomhill
