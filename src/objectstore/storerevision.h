#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A revision of the platform's store, together with the era in which the store counted it.
///
/// A store that is restored from an older copy begins a new era and assigns the numbers after that copy a second time.
/// Numbers of different eras are therefore not comparable: any revision of a later era is later.
struct StoreRevision {
    /// 0 for a store that states no era.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const StoreRevision &) const = default;
};

/// The text form of a revision, "ERA.NUMBER".
std::string toText(const StoreRevision &revision);

/// Parses the text form. Returns nothing if it is malformed.
std::optional<StoreRevision> parseStoreRevision(std::string_view text);

} // namespace Cardamomhill
