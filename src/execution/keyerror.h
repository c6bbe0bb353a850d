#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why an idempotency key cannot be read or issued.
enum class KeyErrorCode : std::uint8_t {
    NotUuid,
    NotVersion7,
    TimeOutOfRange,
    NoSlot,
};

constexpr auto nameTable(KeyErrorCode)
{
    return std::to_array<NamedValue<KeyErrorCode>>({
        {KeyErrorCode::NotUuid, "the idempotency key is not a UUID in its 36-character form"},
        {KeyErrorCode::NotVersion7, "the idempotency key is a UUID, but not of version 7 (RFC 9562)"},
        {KeyErrorCode::TimeOutOfRange, "the time of the idempotency key does not fit into 48 bits of milliseconds"},
        {KeyErrorCode::NoSlot, "no slot is available for a new idempotency key"},
    });
}

/// The error of IdempotencyKey.
struct KeyError {
    KeyErrorCode code;

    std::string message() const
    {
        return std::string(nameOf(code));
    }
};

} // namespace Cardamomhill
