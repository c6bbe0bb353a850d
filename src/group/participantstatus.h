#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// State of a participant in the current incarnation of its group.
enum class ParticipantStatus : std::uint8_t {
    /// The engine has not reported yet.
    Starting,
    /// The engine has not yet answered the first order, which fences off orders of an earlier agent.
    Claiming,
    Member,
    /// Drops all messages until the next incarnation of the group.
    Excluded,
};

constexpr auto nameTable(ParticipantStatus)
{
    return std::to_array<NamedValue<ParticipantStatus>>({
        {ParticipantStatus::Starting, "starting"},
        {ParticipantStatus::Claiming, "claiming"},
        {ParticipantStatus::Member, "member"},
        {ParticipantStatus::Excluded, "out"},
    });
}

} // namespace Cardamomhill
