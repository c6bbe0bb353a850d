#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// What a reading of the choices of experts is for.
enum class CountReading {
    /// None is due.
    None,
    /// Choices since the last reading join what is known.
    Regular,
    /// Begins a short window, because the choices seem to have changed.
    WindowStart,
    /// Choices of that window replace what was known.
    WindowEnd,
};

constexpr auto nameTable(CountReading)
{
    return std::to_array<NamedValue<CountReading>>({
        {CountReading::None, "none"},
        {CountReading::Regular, "regular"},
        {CountReading::WindowStart, "window-start"},
        {CountReading::WindowEnd, "window-end"},
    });
}

} // namespace Cardamomhill
