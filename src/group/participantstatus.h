#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Where a participant stands in the current incarnation of its group.
enum class ParticipantStatus : std::uint8_t {
    /// The engine has not reported yet.
    Starting,
    /// The first order, which shuts out orders of an earlier agent, is not answered yet.
    Claiming,
    Member,
    /// Answers nothing until the next incarnation of the group.
    Out,
};

constexpr auto nameTable(ParticipantStatus)
{
    return std::to_array<NamedValue<ParticipantStatus>>({
        {ParticipantStatus::Starting, "starting"},
        {ParticipantStatus::Claiming, "claiming"},
        {ParticipantStatus::Member, "member"},
        {ParticipantStatus::Out, "out"},
    });
}

} // namespace Cardamomhill
