#pragma once

#include "core/identifiers.h"
#include "execution/slotentry.h"
#include "execution/slotexport.h"
#include "execution/slottable.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace Cardamomhill
{

using TransferId = Identifier<struct TransferTag>;

/// From the old owner to the new one: the content of an exported slot. Sent again until the old owner knows the
/// outcome.
struct SlotTransfer {
    TransferId transfer;
    /// The generation of the slot's row that the old owner wrote. The new owner updates the row only at this
    /// generation.
    std::uint64_t generation = 0;
    SlotExport content;
};

/// From the new owner to the old one: the outcome. A lost reply costs only time, since the slot table decides who owns
/// the slot.
struct TransferReply {
    TransferId transfer;
    SlotNumber slot = 0;
    bool accepted = false;
};

/// A call to the platform for the object `slots/<service>`. Without a table it is a read; with one it is a conditional
/// write that may take effect only if the object still has the version of the table.
struct SlotTableCall {
    std::uint64_t id = 0;
    std::optional<SlotTable> write;
};

/// A message to the agent of another backend server.
struct HandoverMessage {
    BackendServerId to;
    std::variant<SlotTransfer, TransferReply> content;
};

/// Something that the agent has to send.
using HandoverAction = std::variant<SlotTableCall, HandoverMessage>;

} // namespace Cardamomhill
