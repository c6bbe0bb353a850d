#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class WireErrorCode : std::uint8_t {
    Malformed,
    TooLarge,
    UnknownType,
    UnsupportedVersion,
};

constexpr auto nameTable(WireErrorCode)
{
    return std::to_array<NamedValue<WireErrorCode>>({
        {WireErrorCode::Malformed, "malformed message"},
        {WireErrorCode::TooLarge, "message too large"},
        {WireErrorCode::UnknownType, "unknown message type"},
        {WireErrorCode::UnsupportedVersion, "unsupported protocol version"},
    });
}

/// Why received bytes are not a message. The connection that carried them is closed.
struct WireError {
    WireErrorCode code = WireErrorCode::Malformed;
    /// The version, type or length that was not accepted.
    std::uint64_t value = 0;

    std::string message() const
    {
        return std::string(nameOf(code)) + " (" + std::to_string(value) + ")";
    }
};

} // namespace Cardamomhill
