#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

enum class AttemptState : std::uint8_t {
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr auto nameTable(AttemptState)
{
    return std::to_array<NamedValue<AttemptState>>({
        {AttemptState::Running, "running"},
        {AttemptState::Completed, "completed"},
        {AttemptState::Failed, "failed"},
        {AttemptState::Cancelled, "cancelled"},
    });
}

} // namespace Cardamomhill
