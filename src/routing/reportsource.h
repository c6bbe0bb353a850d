#pragma once

#include "core/nametable.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// How a load report reached this process.
enum class ReportSource : std::uint8_t {
    /// Over gossip, with an unknown delay.
    Gossip,
    /// With a reply on a traffic connection, so without additional delay.
    Reply,
};

constexpr std::size_t REPORT_SOURCE_COUNT = 2;

constexpr auto nameTable(ReportSource)
{
    return std::to_array<NamedValue<ReportSource>>({
        {ReportSource::Gossip, "gossip"},
        {ReportSource::Reply, "reply"},
    });
}

} // namespace Cardamomhill
