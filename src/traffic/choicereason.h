#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a server was chosen, or none.
enum class ChoiceReason : std::uint8_t {
    LeastLoaded,
    /// Every other server failed lately.
    LastResort,
    NoServer,
    /// All servers that are left were tried.
    AllTried,
    AllFull,
    /// All servers are in groups that form anew, or cannot be reached.
    GroupsClosed,
};

constexpr auto nameTable(ChoiceReason)
{
    return std::to_array<NamedValue<ChoiceReason>>({
        {ChoiceReason::LeastLoaded, "least-loaded"},
        {ChoiceReason::LastResort, "last-resort"},
        {ChoiceReason::NoServer, "no-server"},
        {ChoiceReason::AllTried, "all-tried"},
        {ChoiceReason::AllFull, "all-full"},
        {ChoiceReason::GroupsClosed, "groups-closed"},
    });
}

} // namespace Cardamomhill
