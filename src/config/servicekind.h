#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

enum class ServiceKind : std::uint8_t {
    /// Served by model engines. A call only generates an answer, so it is idempotent.
    Model,
    /// Served by instances of a plain service. A call is non-idempotent unless the service lists it as idempotent.
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
