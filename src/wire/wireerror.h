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

/// Why received bytes are not a valid message. The connection on which they were received is closed.
struct WireError {
    WireErrorCode code = WireErrorCode::Malformed;
    /// The rejected version, type or length; for Malformed the number of bytes, or 0.
    std::uint64_t value = 0;

    std::string message() const
    {
        return std::string(nameOf(code)) + " (" + std::to_string(value) + ")";
    }
};

} // namespace Cardamomhill
