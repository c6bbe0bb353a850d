#pragma once

#include <cstdint>
#include <string_view>

namespace Cardamomhill
{

/// A 64-bit XXH3 hash, the same in every process and build. Not cryptographic.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Combines two hashes into one; the result depends on their order.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

} // namespace Cardamomhill
