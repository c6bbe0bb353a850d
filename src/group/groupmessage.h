#pragma once

#include "core/identifiers.h"
#include "core/result.h"
#include "group/enginerecord.h"
#include "group/grouperror.h"
#include "group/refusalreason.h"
#include "group/resolution.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Cardamomhill
{

/// Coordinator to rank: load the weights of the map.
struct StageRequest {
    ExpertMapId map;
    bool operator==(const StageRequest &) const = default;
    MSGPACK_DEFINE_ARRAY(map)
};

/// Rank to coordinator: the weights of the map are loaded.
struct Staged {
    ExpertMapId map;
    bool operator==(const Staged &) const = default;
    MSGPACK_DEFINE_ARRAY(map)
};

/// Coordinator to rank: refuse requests with lower ballots from now on.
struct PromiseRequest {
    Ballot ballot;
    bool operator==(const PromiseRequest &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot)
};

/// Rank to coordinator: the promise is recorded.
struct Promised {
    Ballot ballot;
    /// Drawn at random when the participant starts. A prepare request must repeat it, so a rank whose agent has
    /// restarted never accepts a proposal that relies on a promise which the restart may have lost.
    std::uint64_t session = 0;
    /// The lowest step that the rank can still hold.
    std::uint64_t earliestStep = 0;
    ExpertMapId map;
    std::optional<Proposal> accepted;
    std::optional<Resolution> lastResolution;
    bool operator==(const Promised &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot, session, earliestStep, map, accepted, lastResolution)
};

/// Coordinator to rank: hold the step of the proposal until the proposal is resolved.
struct PrepareRequest {
    std::uint64_t session = 0;
    Proposal proposal;
    bool operator==(const PrepareRequest &) const = default;
    MSGPACK_DEFINE_ARRAY(session, proposal)
};

/// Rank to coordinator: the engine holds the step of the proposal.
struct Accepted {
    Ballot ballot;
    bool operator==(const Accepted &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot)
};

/// Rank to coordinator: the rank has not carried out the request and will not do so under this ballot.
struct Refused {
    Ballot ballot;
    RefusalReason reason = RefusalReason::HigherBallot;
    /// The ballot that the rank has promised.
    Ballot promised;
    bool operator==(const Refused &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot, reason, promised)
};

/// Coordinator to rank: the outcome of a proposal, either its own or one that it found unresolved.
struct ResolveRequest {
    Ballot ballot;
    Resolution resolution;
    bool operator==(const ResolveRequest &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot, resolution)
};

/// Rank to coordinator: the engine has applied the outcome.
struct Resolved {
    Ballot ballot;
    /// Ballot of the proposal that was resolved.
    Ballot proposal;
    bool operator==(const Resolved &) const = default;
    MSGPACK_DEFINE_ARRAY(ballot, proposal)
};

/// The order of the alternatives is part of the wire format; append new ones.
using GroupMessageBody = std::variant<StageRequest,
                                      Staged,
                                      PromiseRequest,
                                      Promised,
                                      PrepareRequest,
                                      Accepted,
                                      Refused,
                                      ResolveRequest,
                                      Resolved>;

/// A message between a coordinator and one rank of its group.
struct GroupMessage {
    GroupId group;
    /// Incarnation of the group as the sender's engine reports it. A receiver drops messages whose incarnation differs
    /// from that of its own engine.
    std::uint64_t incarnation = 0;
    /// The rank that gets the request or sends the answer.
    std::uint32_t rank = 0;
    /// The rank whose agent runs the coordinator.
    std::uint32_t coordinatorRank = 0;
    GroupMessageBody body;

    bool operator==(const GroupMessage &) const = default;
};

/// Version of the wire format of group messages.
constexpr std::uint32_t groupMessageVersion = 1;

/// Encodes a message as msgpack: [version, kind, group, incarnation, rank, coordinator rank, body].
std::string packGroupMessage(const GroupMessage &message);

/// Decodes a message; anything but exactly one well-formed message of a known version is an error.
Result<GroupMessage, GroupError> unpackGroupMessage(std::string_view bytes);

/// Encodes a record as the opaque bytes that an engine stores for its agent.
std::string packEngineRecord(const EngineRecord &record);
Result<EngineRecord, GroupError> unpackEngineRecord(std::string_view bytes);

} // namespace Cardamomhill
