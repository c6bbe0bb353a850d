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

/// Old owner to new owner: the content of an exported slot. Repeated until the old owner knows the outcome.
struct SlotTransfer {
    TransferId transfer;
    /// The generation of the slot under which the old owner holds it. The new owner's update applies only to it.
    std::uint64_t generation = 0;
    SlotExport content;
};

/// New owner to old owner: the outcome. A lost reply costs only time, since the slot table decides.
struct TransferReply {
    TransferId transfer;
    SlotNumber slot = 0;
    bool taken = false;
};

/// A call to the platform for the object `slots/<service>`. Without a table it is a read; with one it is a conditional
/// write that must only apply to the version that the table carries.
struct TableCall {
    std::uint64_t id = 0;
    std::optional<SlotTable> write;
};

/// A message to the agent of another backend server.
struct HandoverMessage {
    BackendServerId to;
    std::variant<SlotTransfer, TransferReply> content;
};

/// What the agent sends next.
using HandoverAction = std::variant<TableCall, HandoverMessage>;

} // namespace Cardamomhill
