#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

constexpr auto nameTable(LogLevel)
{
    return std::to_array<NamedValue<LogLevel>>({
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
    });
}

} // namespace Cardamomhill
