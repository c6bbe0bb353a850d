#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class CallHeadErrorCode : std::uint8_t {
    HostMissing,
    MalformedHeader,
    MalformedTarget,
};

constexpr auto nameTable(CallHeadErrorCode)
{
    return std::to_array<NamedValue<CallHeadErrorCode>>({
        {CallHeadErrorCode::HostMissing, "host-missing"},
        {CallHeadErrorCode::MalformedHeader, "malformed-header"},
        {CallHeadErrorCode::MalformedTarget, "malformed-target"},
    });
}

/// Why the request line or headers of a call could not be read.
struct CallHeadError {
    CallHeadErrorCode code = CallHeadErrorCode::MalformedHeader;
    std::string header;

    std::string message() const
    {
        return std::string(nameOf(code)) + (header.empty() ? "" : ": " + header);
    }
};

} // namespace Cardamomhill
