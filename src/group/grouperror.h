#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class GroupErrorCode : std::uint8_t {
    Malformed,
    UnknownVersion,
    UnknownKind,
    /// The coordinator works on another switch.
    Busy,
    /// The incarnation of the group is not known yet.
    NoIncarnation,
};

constexpr auto nameTable(GroupErrorCode)
{
    return std::to_array<NamedValue<GroupErrorCode>>({
        {GroupErrorCode::Malformed, "malformed"},
        {GroupErrorCode::UnknownVersion, "unknown-version"},
        {GroupErrorCode::UnknownKind, "unknown-kind"},
        {GroupErrorCode::Busy, "busy"},
        {GroupErrorCode::NoIncarnation, "no-incarnation"},
    });
}

/// An error of the group module.
struct GroupError {
    GroupErrorCode code = GroupErrorCode::Malformed;
    /// The offending version or kind number, where there is one.
    std::uint64_t found = 0;

    std::string message() const
    {
        return "group: " + std::string(nameOf(code)) + " (" + std::to_string(found) + ")";
    }
};

} // namespace Cardamomhill
