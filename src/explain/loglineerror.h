#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// Why a line of a log file cannot be read.
enum class LogLineError {
    /// No event of this product.
    Foreign,
    /// The line ends within a value, or it has no time.
    Truncated,
};

constexpr auto nameTable(LogLineError)
{
    return std::to_array<NamedValue<LogLineError>>({
        {LogLineError::Foreign, "foreign"},
        {LogLineError::Truncated, "truncated"},
    });
}

} // namespace Cardamomhill
