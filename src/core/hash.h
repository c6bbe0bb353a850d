#pragma once

#include <cstdint>
#include <string_view>

namespace Cardamomhill
{

/// A 64-bit hash (XXH3) that is the same in every process and build. Not for secrets.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Combines two hashes; the order matters.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

} // namespace Cardamomhill
