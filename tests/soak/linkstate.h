#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// How a FaultProxy forwards data. Up is towards the server, down towards the client.
enum class LinkState {
    Open,
    /// All data is forwarded after a delay.
    Delayed,
    /// Data in one direction, or both, is held back until the state changes; none is lost.
    SilentUp,
    SilentDown,
    Silent,
    /// New connections are reset at once.
    Refusing,
};

constexpr auto nameTable(LinkState)
{
    return std::to_array<NamedValue<LinkState>>({
        {LinkState::Open, "open"},
        {LinkState::Delayed, "delayed"},
        {LinkState::SilentUp, "silent-up"},
        {LinkState::SilentDown, "silent-down"},
        {LinkState::Silent, "silent"},
        {LinkState::Refusing, "refusing"},
    });
}

} // namespace Cardamomhill
