#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// How a proxied link behaves.
enum class LinkState {
    Open,
    /// Every piece of data arrives later.
    Delayed,
    /// Nothing arrives in one direction, or both, until the state changes; nothing is lost.
    SilentUp,
    SilentDown,
    Silent,
    /// New connections are closed at once.
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
