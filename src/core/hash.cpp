#include "core/hash.h"

#include <array>

#include <xxhash.h>

namespace Cardamomhill
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> both{first, second};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace Cardamomhill
