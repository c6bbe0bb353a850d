#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// Purpose of a reading of the expert counters, which count how often each expert was selected.
enum class CounterReading {
    /// No reading is due.
    None,
    /// Selections since the last reading are combined with the known load.
    Regular,
    /// Starts a short measurement window, because other experts seem to be selected now.
    WindowStart,
    /// Ends the window. Its selections replace the known load.
    WindowEnd,
};

constexpr auto nameTable(CounterReading)
{
    return std::to_array<NamedValue<CounterReading>>({
        {CounterReading::None, "none"},
        {CounterReading::Regular, "regular"},
        {CounterReading::WindowStart, "window-start"},
        {CounterReading::WindowEnd, "window-end"},
    });
}

} // namespace Cardamomhill
