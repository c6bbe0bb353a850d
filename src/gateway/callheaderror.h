#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class CallHeaderErrorCode : std::uint8_t {
    HostMissing,
    MalformedHeader,
    MalformedTarget,
};

constexpr auto nameTable(CallHeaderErrorCode)
{
    return std::to_array<NamedValue<CallHeaderErrorCode>>({
        {CallHeaderErrorCode::HostMissing, "host-missing"},
        {CallHeaderErrorCode::MalformedHeader, "malformed-header"},
        {CallHeaderErrorCode::MalformedTarget, "malformed-target"},
    });
}

/// Why the request line or headers of a call could not be read.
struct CallHeaderError {
    CallHeaderErrorCode code = CallHeaderErrorCode::MalformedHeader;
    std::string header;

    std::string message() const
    {
        return std::string(nameOf(code)) + (header.empty() ? "" : ": " + header);
    }
};

} // namespace Cardamomhill
