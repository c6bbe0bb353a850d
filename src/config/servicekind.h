#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

enum class ServiceKind : std::uint8_t {
    /// Served by model engines; a call only generates an answer and is idempotent.
    Model,
    /// Served by plain services; a call is non-idempotent unless the service lists it.
    Plain,
};

constexpr auto nameTable(ServiceKind)
{
    return std::to_array<NamedValue<ServiceKind>>({
        {ServiceKind::Model, "model"},
        {ServiceKind::Plain, "plain"},
    });
}

} // namespace Cardamomhill
