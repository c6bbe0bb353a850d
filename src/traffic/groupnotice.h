#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// What the coordinator of a group tells the other entry hosts.
enum class GroupEvent : std::uint8_t {
    /// The group was formed and takes calls.
    Opened,
    /// The coordinator has given up its lease, because its process stops.
    CoordinatorLeft,
};

constexpr auto nameTable(GroupEvent)
{
    return std::to_array<NamedValue<GroupEvent>>({
        {GroupEvent::Opened, "opened"},
        {GroupEvent::CoordinatorLeft, "coordinator-left"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::GroupEvent)

namespace Cardamomhill
{

/// A message of a group's coordinator to the other entry hosts. It arrives before the same fact shows in the store. A
/// format of its own, which hosts that know only LoadNotice ignore.
struct GroupNotice {
    static constexpr std::uint8_t CurrentFormat = 1;

    std::uint8_t format = CurrentFormat;
    GroupEvent event = GroupEvent::Opened;
    std::string host;
    std::string group;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE_ARRAY(format, event, host, group, epoch)
};

std::string packGroupNotice(const GroupNotice &notice);

/// Returns nothing if the bytes are not a valid notice of the current format with a known event.
std::optional<GroupNotice> unpackGroupNotice(std::string_view bytes);

} // namespace Cardamomhill
