#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/coldreason.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// A backend server with a limit for cold servers has become cold or warm.
struct ColdServerChange {
    BackendServerId server;
    /// Why it is cold; nothing if it is warm now.
    std::optional<ColdReason> reason;
    /// How much longer it is cold, as far as this host knows.
    Milliseconds remaining{0};
    /// Calls that this host may send to it in one window.
    std::uint32_t callShare = 0;
};

} // namespace Cardamomhill
