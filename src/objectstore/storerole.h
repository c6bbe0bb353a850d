#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// How an entry host learns of changes in the platform's store.
enum class StoreRole : std::uint8_t {
    /// It follows the store for itself.
    Direct,
    /// It follows the store and tells others.
    Relay,
    /// A relay tells it.
    Relayed,
};

constexpr auto nameTable(StoreRole)
{
    return std::to_array<NamedValue<StoreRole>>({
        {StoreRole::Direct, "direct"},
        {StoreRole::Relay, "relay"},
        {StoreRole::Relayed, "relayed"},
    });
}

} // namespace Cardamomhill
