#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// The number of slots into which the idempotency keys of a service are divided.
constexpr std::size_t slotCount = 256;

/// Identifies a slot of a service. Every value of the type is a valid slot.
using SlotNumber = std::uint8_t;

/// A set of slots.
using SlotSet = std::bitset<slotCount>;

/// Calls `visit` with each slot of the set in ascending order.
template<class Visitor>
void forEachSlot(const SlotSet &slots, Visitor visit)
{
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        if (slots.test(slot)) {
            visit(static_cast<SlotNumber>(slot));
        }
    }
}

} // namespace Cardamomhill
