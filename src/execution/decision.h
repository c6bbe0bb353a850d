#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// What the agent does with an attempt.
enum class DecisionKind : std::uint8_t {
    /// Run the request now and report its end to the registry.
    Execute,
    /// The request has run; send the recorded answer.
    Replay,
    /// The request is running; answer when it ends.
    Wait,
    /// The request was never executed and never will be.
    NotRun,
    /// This agent does not know whether the request has run; another one may.
    Rejected,
    /// The request may have run.
    Unknown,
    /// The key belongs to a different request.
    DigestMismatch,
};

constexpr auto nameTable(DecisionKind)
{
    return std::to_array<NamedValue<DecisionKind>>({
        {DecisionKind::Execute, "execute"},
        {DecisionKind::Replay, "replay"},
        {DecisionKind::Wait, "wait"},
        {DecisionKind::NotRun, "not-run"},
        {DecisionKind::Rejected, "rejected"},
        {DecisionKind::Unknown, "unknown"},
        {DecisionKind::DigestMismatch, "digest-mismatch"},
    });
}

/// The reason for a decision; it is logged with it.
enum class DecisionReason : std::uint8_t {
    NewKey,
    RecordExists,
    AnswerNotKept,
    ExecutionFailed,
    NotOwner,
    KeyTimeAhead,
    KeyTimeBelowFloor,
    LifetimeEnded,
    RefusedEarlier,
    SlotSealed,
    AgentLeaving,
    RegistryFull,
};

constexpr auto nameTable(DecisionReason)
{
    return std::to_array<NamedValue<DecisionReason>>({
        {DecisionReason::NewKey, "new-key"},
        {DecisionReason::RecordExists, "record-exists"},
        {DecisionReason::AnswerNotKept, "answer-not-kept"},
        {DecisionReason::ExecutionFailed, "execution-failed"},
        {DecisionReason::NotOwner, "not-owner"},
        {DecisionReason::KeyTimeAhead, "key-time-ahead"},
        {DecisionReason::KeyTimeBelowFloor, "key-time-below-floor"},
        {DecisionReason::LifetimeEnded, "lifetime-ended"},
        {DecisionReason::RefusedEarlier, "refused-earlier"},
        {DecisionReason::SlotSealed, "slot-sealed"},
        {DecisionReason::AgentLeaving, "agent-leaving"},
        {DecisionReason::RegistryFull, "registry-full"},
    });
}

/// The decision about one attempt.
struct Decision {
    DecisionKind kind;
    DecisionReason reason;
    /// The recorded answer, for Replay; empty if the reason is AnswerNotKept.
    std::string answer = {};
};

} // namespace Cardamomhill
