#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class MembershipErrorCode : std::uint8_t {
    /// The bytes are not a message.
    Malformed,
    /// The message has a format version that this release does not know.
    UnknownVersion,
    /// The message has a type that this release does not know.
    UnknownType,
    /// The sender belongs to another failure domain.
    WrongDomain,
};

constexpr auto nameTable(MembershipErrorCode)
{
    return std::to_array<NamedValue<MembershipErrorCode>>({
        {MembershipErrorCode::Malformed, "malformed"},
        {MembershipErrorCode::UnknownVersion, "unknown-version"},
        {MembershipErrorCode::UnknownType, "unknown-type"},
        {MembershipErrorCode::WrongDomain, "wrong-domain"},
    });
}

/// Why a received message was dropped.
struct MembershipError {
    MembershipErrorCode code = MembershipErrorCode::Malformed;
    std::string detail;

    std::string message() const
    {
        return std::string(nameOf(code)) + ": " + detail;
    }
};

} // namespace Cardamomhill
