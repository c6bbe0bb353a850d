#pragma once

#include "core/nametable.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// How an attempt ended that has no answer.
enum class AttemptOutcome : std::uint8_t {
    /// The request was not executed and never will be under this key or attempt.
    NotRun,
    /// The agent did not accept the attempt, which says nothing about other attempts with the same key.
    Rejected,
    /// The request may or may not have been executed.
    Unknown,
};

constexpr auto nameTable(AttemptOutcome)
{
    return std::to_array<NamedValue<AttemptOutcome>>({
        {AttemptOutcome::NotRun, "not-run"},
        {AttemptOutcome::Rejected, "rejected"},
        {AttemptOutcome::Unknown, "unknown"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::AttemptOutcome)
