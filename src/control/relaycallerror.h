#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a relay told nothing.
enum class RelayCallError : std::uint8_t {
    /// No answer, or one that cannot be read.
    Failed,
    /// It does not follow the store itself.
    Declined,
    /// It has no contact with the store.
    NoContact,
    /// It does not remember changes for that long.
    HistoryGone,
};

constexpr auto nameTable(RelayCallError)
{
    return std::to_array<NamedValue<RelayCallError>>({
        {RelayCallError::Failed, "failed"},
        {RelayCallError::Declined, "declined"},
        {RelayCallError::NoContact, "no-contact"},
        {RelayCallError::HistoryGone, "history-gone"},
    });
}

} // namespace Cardamomhill
