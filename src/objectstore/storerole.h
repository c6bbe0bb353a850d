#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// How an entry host learns of changes in the platform's store.
enum class StoreRole : std::uint8_t {
    /// It calls the store for itself only.
    Direct,
    /// It calls the store and passes the changes on to other hosts.
    Relay,
    /// It receives the changes from a relay.
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
