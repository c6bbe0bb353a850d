#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a call to a relay returned no objects.
enum class RelayCallError : std::uint8_t {
    /// No answer, or a malformed one.
    Failed,
    /// The called host is not a relay.
    Declined,
    /// The relay has no contact with the store.
    NoContact,
    /// The relay no longer keeps the changes since the given revision.
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
