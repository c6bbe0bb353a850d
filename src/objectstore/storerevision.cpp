#include "objectstore/storerevision.h"

#include "core/parsenumber.h"

namespace Cardamomhill
{

namespace
{

constexpr char Separator = '.';

} // namespace

std::string toText(const StoreRevision &revision)
{
    return std::to_string(revision.era) + Separator + std::to_string(revision.number);
}

std::optional<StoreRevision> parseStoreRevision(std::string_view text)
{
    const auto separator = text.find(Separator);
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto era = parseNumber<std::uint64_t>(text.substr(0, separator));
    const auto number = parseNumber<std::uint64_t>(text.substr(separator + 1));
    return era && number ? std::optional(StoreRevision{*era, *number}) : std::nullopt;
}

} // namespace Cardamomhill
