#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/choicereason.h"
#include "traffic/groupcandidate.h"
#include "traffic/grouproom.h"
#include "traffic/responsetimeestimate.h"
#include "traffic/serverchoice.h"
#include "traffic/serverscore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

namespace internal
{
class RandomOrder;
}

struct KnownServer;
struct ObservedTimes;
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
        const KnownServer *best = nullptr;
        ServerScore bestScore;
        /// The best one if no server held a part of the prompt.
        const KnownServer *bestUnheld = nullptr;
        ServerScore bestUnheldScore;
        /// Servers compared that did not fail recently and are not slow.
        std::size_t healthy = 0;
    };

    /// Why the call cannot be sent to the server now, or nothing if it can. If no server can take it, the reason that
    /// comes last in ChoiceReason is the one that is reported.
    std::optional<ChoiceReason> obstacleOf(const KnownServer &entry) const;
    /// Calls in progress from which the server counts as full.
    double maxCallsOf(const KnownServer &entry) const;
    ServerScore scoreOf(const KnownServer &entry) const;
    /// Calls that the server counts as having with this one, recent failures included.
    double weighedCallsOf(const KnownServer &entry) const;
    double slowdownOf(const KnownServer &entry) const;
    struct EstimatedServer {
        const KnownServer *entry = nullptr;
        ServerScore score;
        ResponseTimeEstimate estimate;
        double expectedMs = 0;
        /// False if it is full by the last notices.
        bool hasRoom = true;
    };
    /// The servers that can take the call; if any of them is not avoided, also those that are full by the last notices
    /// and not by this host's own calls.
    std::vector<EstimatedServer> estimateCandidates(const std::vector<BackendServerId> &servers,
                                                    const ObservedTimes &serviceTimes);
    /// Whether a call goes to the server that is soonest without calls, although it is expected sooner from another.
    bool staysAt(const EstimatedServer &home, const EstimatedServer &best);
    /// Compares all servers by their expected response times.
    ServerChoice chooseSoonest(const std::vector<BackendServerId> &servers, const ObservedTimes &serviceTimes);
    /// Compares a random sample of the servers; those of the selected group only, if there is one.
    void compareSample(const std::vector<BackendServerId> &servers,
                       internal::RandomOrder order,
                       const BackendServerId &holderId);
    /// Whether the server and its group can take the call. If not, the reason is kept for the case that none can.
    bool mayTake(const KnownServer &entry);
    /// The group that the call should go to; empty if its group does not matter.
    GroupId selectGroup(const std::vector<BackendServerId> &servers) const;
    std::vector<GroupCandidate> groupCandidates(const std::vector<BackendServerId> &servers) const;
    Microseconds currentStep(const GroupId &group) const;
    bool isInSelectedGroup(const KnownServer &entry) const;
    void compare(const KnownServer &entry);
    /// The room in each group of the service for the call; empty if the call's admission does not limit groups.
    std::unordered_map<GroupId, GroupRoom> groupRooms() const;
    std::optional<GroupRoom> roomOf(const KnownServer &entry) const;
    /// Whether the server has no group, or its group has room.
    bool hasRoom(const KnownServer &entry) const;
    /// Of the servers that can take the call and are not avoided, in the selected group if there is one, the one that
    /// holds most of its prompt; empty if none holds any.
    BackendServerId holder() const;
    std::uint64_t heldTokensOf(const KnownServer &entry) const;

    const ServerRecords &m_records;
    const ServerQuery &m_query;
    SteadyTime m_now;
    Random &m_random;
    std::unordered_map<GroupId, GroupRoom> m_rooms;
    GroupId m_selectedGroup;
    Comparison m_comparison;
};

} // namespace Cardamomhill
