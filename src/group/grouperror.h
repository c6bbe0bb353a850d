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
    /// Another operation of the coordinator is in progress.
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
    /// The unknown version or kind number; for malformed input, its number of parts or end offset, else 0.
    std::uint64_t found = 0;

    std::string message() const
    {
        return "group: " + std::string(nameOf(code)) + " (" + std::to_string(found) + ")";
    }
};

} // namespace Cardamomhill
