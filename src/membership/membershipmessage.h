#pragma once

#include "core/result.h"
#include "membership/hostrow.h"
#include "membership/membershiperror.h"
#include "membership/objectupdate.h"
#include "membership/serverrow.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The largest message that is sent as a datagram. With the headers of IP and UDP it stays below the smallest
/// usual MTU of 1,280 bytes.
constexpr std::size_t DatagramLimitBytes = 900;

/// State of a process's copy of the configuration.
struct ConfigurationSummary {
    std::uint64_t digest = 0;
    std::uint64_t highestRevision = 0;
    /// All changes up to this revision are in the copy.
    std::uint64_t completeThrough = 0;
    /// The process has a complete configuration in force.
    bool isReady = false;

    MSGPACK_DEFINE_ARRAY(digest, highestRevision, completeThrough, isReady)
};

/// Sent to one random peer each second; its answer shows that the peer is alive.
struct GossipMessage {
    std::uint64_t number = 0;
    bool isAnswer = false;
    /// The sender has just started and asks each peer for its configuration.
    bool isJoining = false;
    /// Hash of the sender's failure domain.
    std::uint64_t domain = 0;
    HostRow sender;
    ConfigurationSummary configuration;
    std::vector<HostRow> hosts;
    std::vector<ServerRow> servers;

    MSGPACK_DEFINE_ARRAY(number, isAnswer, isJoining, domain, sender, configuration, hosts, servers)
};

/// Asks for the objects that the sender lacks; without digests, only for those newer than the highest revision.
struct RepairRequest {
    std::uint64_t highestRevision = 0;
    /// Empty, or one digest per bucket.
    std::vector<std::uint64_t> digests;
    bool isAgent = false;
    bool isJoining = false;

    MSGPACK_DEFINE_ARRAY(highestRevision, digests, isAgent, isJoining)
};

/// Asks for objects by the hashes of their keys.
struct FetchRequest {
    std::vector<std::uint64_t> keys;
    bool isAgent = false;
    /// Whether the message that listed the keys was complete; copied into the answer.
    bool isComplete = true;

    MSGPACK_DEFINE_ARRAY(keys, isAgent, isComplete)
};

/// Objects for one receiver.
struct ObjectsMessage {
    /// Not 0 if the receiver must acknowledge the message.
    std::uint64_t number = 0;
    std::vector<ObjectUpdate> objects;
    /// Key hashes and versions of all objects in buckets that differ; the receiver fetches what it lacks.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> versions;
    /// False if the receiver must ask for more.
    bool isComplete = true;
    /// The sender has a complete configuration in force.
    bool isReady = false;

    MSGPACK_DEFINE_ARRAY(number, objects, versions, isComplete, isReady)
};

/// A change for all live members, forwarded down the fan-out tree.
struct BroadcastMessage {
    std::uint64_t origin = 0;
    std::uint64_t number = 0;
    std::vector<ObjectUpdate> objects;
    std::vector<HostRow> hosts;
    std::vector<ServerRow> servers;
    /// Hashes of the hosts that the receiver must forward the message to.
    std::vector<std::uint64_t> subtree;

    MSGPACK_DEFINE_ARRAY(origin, number, objects, hosts, servers, subtree)
};

/// Confirms that a host has processed a message.
struct Acknowledgement {
    /// Hash of the acknowledging host.
    std::uint64_t host = 0;
    /// 0 for an ObjectsMessage.
    std::uint64_t origin = 0;
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(host, origin, number)
};

/// An agent's report to an entry host of its failure domain.
struct AgentReport {
    std::uint64_t number = 0;
    /// Hash of the agent's failure domain.
    std::uint64_t domain = 0;
    ServerRow row;
    ConfigurationSummary configuration;
    /// Position of the receiver in the agent's order of entry hosts: 0 sends changes to the agent at once, 1 is the
    /// fallback.
    std::uint8_t preference = 0;

    MSGPACK_DEFINE_ARRAY(number, domain, row, configuration, preference)
};

/// The answer of the entry host to an AgentReport.
struct AgentAnswer {
    /// Number of the report, or 0 if sent without a report because the agent's copy differs.
    std::uint64_t number = 0;
    std::uint64_t hostIncarnation = 0;
    ConfigurationSummary configuration;
    /// Incarnation and state of the agent as known to the entry host; the agent refutes a suspicion.
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    /// The entry host is leaving, so the agent should report to another one.
    bool isLeaving = false;

    MSGPACK_DEFINE_ARRAY(number, hostIncarnation, configuration, incarnation, state, isLeaving)
};

using MembershipMessage = std::variant<GossipMessage,
                                       RepairRequest,
                                       FetchRequest,
                                       ObjectsMessage,
                                       BroadcastMessage,
                                       Acknowledgement,
                                       AgentReport,
                                       AgentAnswer>;

/// msgpack array of format version, type and content.
std::string encode(const MembershipMessage &message);

Result<MembershipMessage, MembershipError> decodeMembershipMessage(std::string_view bytes);

} // namespace Cardamomhill
