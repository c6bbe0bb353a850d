#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/choicereason.h"
#include "traffic/grouproom.h"
#include "traffic/serverchoice.h"
#include "traffic/serverscore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Cardamomhill
{

struct PromptReuse;
struct ServerEntry;
struct ServerQuery;
struct ServerRecords;

/// Chooses the server of one call by what is known at one time.
class ServerChooser
{
public:
    ServerChooser(const ServerRecords &records, const ServerQuery &query, SteadyTime now, Random &random);

    /// As ServerTable::choose().
    ServerChoice choose();

private:
    /// The servers that were compared for the call, and the best of them.
    struct Comparison {
        ServerChoice choice;
        const ServerEntry *best = nullptr;
        ServerScore bestScore;
        /// The best one if no server held a part of the prompt.
        const ServerEntry *bestUnheld = nullptr;
        ServerScore bestUnheldScore;
        /// Servers compared that did not fail recently and are not slow.
        std::size_t healthy = 0;
    };

    /// Why the call cannot be sent to the server now, or nothing if it can. If no server can take it, the reason that
    /// comes last in ChoiceReason is the one that is reported.
    std::optional<ChoiceReason> obstacleOf(const ServerEntry &entry) const;
    /// Calls in progress from which the server counts as full.
    double maxCallsOf(const ServerEntry &entry) const;
    ServerScore scoreOf(const ServerEntry &entry) const;
    void compare(const ServerEntry &entry);
    /// The room in each group of the service for the call; empty if the call's admission does not limit groups.
    std::unordered_map<GroupId, GroupRoom> groupRooms() const;
    std::optional<GroupRoom> roomOf(const ServerEntry &entry) const;
    /// Whether the server has no group, or its group has room.
    bool hasRoom(const ServerEntry &entry) const;
    /// Of the servers that can take the call and are not avoided, the one that holds most of its prompt; empty if none
    /// holds any.
    BackendServerId holder() const;
    std::uint64_t heldTokensOf(const ServerEntry &entry) const;

    const ServerRecords &m_records;
    const ServerQuery &m_query;
    SteadyTime m_now;
    Random &m_random;
    std::unordered_map<GroupId, GroupRoom> m_rooms;
    Comparison m_comparison;
};

} // namespace Cardamomhill
