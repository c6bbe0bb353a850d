#pragma once

#include "core/nametable.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Why an attempt ended without an answer.
enum class AttemptReason : std::uint8_t {
    AttemptNotKnown,
    EngineFailed,
    EngineUnreachable,
    KeyExpired,
    KeyFromFuture,
    KeyMayHaveRun,
    KeyMismatch,
    KeyRefused,
    Leaving,
    Malformed,
    Overloaded,
    ResumeImpossible,
    SlotNotOwned,
    TimedOut,
    WrongService,
};

constexpr auto nameTable(AttemptReason)
{
    return std::to_array<NamedValue<AttemptReason>>({
        {AttemptReason::AttemptNotKnown, "attempt-not-known"},
        {AttemptReason::EngineFailed, "engine-failed"},
        {AttemptReason::EngineUnreachable, "engine-unreachable"},
        {AttemptReason::KeyExpired, "key-expired"},
        {AttemptReason::KeyFromFuture, "key-from-future"},
        {AttemptReason::KeyMayHaveRun, "key-may-have-run"},
        {AttemptReason::KeyMismatch, "key-mismatch"},
        {AttemptReason::KeyRefused, "key-refused"},
        {AttemptReason::Leaving, "leaving"},
        {AttemptReason::Malformed, "malformed"},
        {AttemptReason::Overloaded, "overloaded"},
        {AttemptReason::ResumeImpossible, "resume-impossible"},
        {AttemptReason::SlotNotOwned, "slot-not-owned"},
        {AttemptReason::TimedOut, "timed-out"},
        {AttemptReason::WrongService, "wrong-service"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::AttemptReason)
