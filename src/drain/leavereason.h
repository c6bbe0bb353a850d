#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a process leaves.
enum class LeaveReason : std::uint8_t {
    /// The process received SIGTERM.
    Terminated,
    /// The configuration retires the process.
    Retired,
    /// The host list shows its host as leaving.
    HostLeaving,
};

constexpr auto nameTable(LeaveReason)
{
    return std::to_array<NamedValue<LeaveReason>>({
        {LeaveReason::Terminated, "terminated"},
        {LeaveReason::Retired, "retired"},
        {LeaveReason::HostLeaving, "host-leaving"},
    });
}

} // namespace Cardamomhill
