#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a backend server counts as cold.
enum class ColdReason : std::uint8_t {
    /// It stated so in its registration or in an answer.
    Stated,
    /// Its process has become known only recently.
    NewProcess,
    /// The evacuation of its failure domain ended recently.
    Restored,
};

constexpr auto nameTable(ColdReason)
{
    return std::to_array<NamedValue<ColdReason>>({
        {ColdReason::Stated, "stated"},
        {ColdReason::NewProcess, "new-process"},
        {ColdReason::Restored, "restored"},
    });
}

} // namespace Cardamomhill
