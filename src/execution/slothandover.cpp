#include "execution/slothandover.h"

#include <array>
#include <cstdio>
#include <iterator>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr Microseconds resendInterval = Milliseconds(500);
// Long enough for a transfer of 1 MB, two reads and a write with one lost response; not longer, because a sealed
// slot refuses new keys.
constexpr Microseconds transferTimeout = Seconds(6);

} // namespace

SlotHandover::SlotHandover(BackendServerId self, ExecutionRegistry &registry, Random &random)
    : m_self(self)
    , m_registry(registry)
    , m_random(random)
    , m_updater(std::move(self), random)
{
}

void SlotHandover::applyTable(const SlotTable &table)
{
    for (std::size_t number = 0; number < slotCount; ++number) {
        const auto slot = static_cast<SlotNumber>(number);
        const SlotEntry &entry = table.entry(slot);
        if (m_updater.isPending(slot)) {
            continue;
        }
        const SlotPhase phase = m_registry.phase(slot);
        if (phase != SlotPhase::NotOwned && entry.generation > m_generations[slot]) {
            releaseSlot(slot);
        }
        if (entry.owner == m_self && m_registry.phase(slot) == SlotPhase::NotOwned) {
            m_updater.acquire(slot, m_self, std::nullopt);
        }
    }
}

Result<void, HandoverError> SlotHandover::startHandover(SlotNumber slot, const BackendServerId &to)
{
    if (to == m_self) {
        return failure(HandoverError{HandoverErrorCode::TargetIsSelf, slot});
    }
    if (m_outgoing.contains(slot)) {
        return failure(HandoverError{HandoverErrorCode::InProgress, slot});
    }
    if (m_registry.phase(slot) != SlotPhase::Serving) {
        return failure(HandoverError{HandoverErrorCode::NotServing, slot});
    }
    std::array<char, 33> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(m_random()),
                  static_cast<unsigned long long>(m_random()));
    m_outgoing.emplace(slot, OutgoingHandover{to, TransferId(text.data()), HandoverStep::ConfirmingOwnership, {}, {}});
    m_updater.requestRead();
    return success();
}

void SlotHandover::receive(const BackendServerId &from, const SlotTransfer &transfer)
{
    const SlotNumber slot = transfer.content.slot;
    const IncomingTransfer incoming{from, transfer.transfer};
    const auto known = m_incoming.find(slot);
    if (known != m_incoming.end() && known->second.transfer == transfer.transfer) {
        // While the update of the table is pending, there is nothing to reply yet; apply() replies with its outcome.
        if (m_registry.phase(slot) != SlotPhase::Imported) {
            reply(incoming, slot, true);
        }
        return;
    }
    if (m_registry.isLeaving() || m_updater.isPending(slot) || m_registry.importSlot(transfer.content).has_error()) {
        reply(incoming, slot, false);
        return;
    }
    m_incoming.insert_or_assign(slot, incoming);
    m_updater.acquire(slot, from, transfer.generation);
}

void SlotHandover::receive(const TransferReply &reply)
{
    const auto position = m_outgoing.find(reply.slot);
    if (position == m_outgoing.end() || position->second.transfer != reply.transfer
        || position->second.step != HandoverStep::Transferring) {
        return;
    }
    if (reply.accepted) {
        releaseSlot(reply.slot);
    } else {
        reclaim(reply.slot, position->second);
    }
}

void SlotHandover::handleTableRead(std::uint64_t call, const SlotTable &table, SteadyTime now, WallTime wall)
{
    const auto outcomes = m_updater.handleTableRead(call, table, now);
    if (!outcomes) {
        return;
    }
    for (const OwnershipOutcome &outcome : *outcomes) {
        apply(outcome, wall);
    }
    applyTable(table);
    sealConfirmed(table);
}

void SlotHandover::apply(const OwnershipOutcome &outcome, WallTime wall)
{
    const SlotNumber slot = outcome.slot;
    const auto incoming = m_incoming.find(slot);
    if (!outcome.acquired) {
        if (incoming != m_incoming.end()) {
            reply(incoming->second, slot, false);
        }
        releaseSlot(slot);
        return;
    }
    m_generations[slot] = outcome.generation;
    m_outgoing.erase(slot);
    switch (m_registry.phase(slot)) {
    case SlotPhase::NotOwned:
        (void)m_registry.serveWithoutRecords(slot, wall);
        break;
    case SlotPhase::Imported:
        (void)m_registry.activate(slot);
        reply(incoming->second, slot, true);
        break;
    case SlotPhase::Sealed:
    case SlotPhase::Exported:
        (void)m_registry.unseal(slot);
        break;
    case SlotPhase::Serving:
        break;
    }
}

void SlotHandover::sealConfirmed(const SlotTable &table)
{
    for (auto position = m_outgoing.begin(); position != m_outgoing.end();) {
        auto &[slot, handover] = *position;
        if (handover.step == HandoverStep::ConfirmingOwnership) {
            const bool held = table.entry(slot).generation == m_generations[slot];
            if (!held || m_registry.seal(slot).has_error()) {
                position = m_outgoing.erase(position);
                continue;
            }
            handover.step = HandoverStep::Draining;
        }
        ++position;
    }
}

void SlotHandover::handleWriteResponse(std::uint64_t call, SteadyTime now)
{
    m_updater.handleWriteResponse(call, now);
}

void SlotHandover::handleCallFailure(std::uint64_t call, SteadyTime now)
{
    m_updater.handleCallFailure(call, now);
}

std::vector<HandoverAction> SlotHandover::poll(SteadyTime now)
{
    std::vector<HandoverAction> actions = std::exchange(m_replies, {});
    for (auto &[slot, handover] : m_outgoing) {
        pollOutgoing(slot, handover, now, actions);
    }
    if (auto call = m_updater.poll(now)) {
        actions.emplace_back(std::move(*call));
    }
    return actions;
}

void SlotHandover::pollOutgoing(SlotNumber slot,
                                OutgoingHandover &handover,
                                SteadyTime now,
                                std::vector<HandoverAction> &actions)
{
    if (handover.step == HandoverStep::Draining && m_registry.isDrained(slot)) {
        handover.step = HandoverStep::Transferring;
        handover.deadline = now + transferTimeout;
        handover.nextSend = now;
    }
    if (handover.step != HandoverStep::Transferring) {
        return;
    }
    if (now >= handover.deadline) {
        reclaim(slot, handover);
    } else if (now >= handover.nextSend) {
        handover.nextSend = now + resendInterval;
        auto content = m_registry.exportSlot(slot);
        actions.emplace_back(HandoverMessage{
            handover.to, SlotTransfer{handover.transfer, m_generations[slot], std::move(content).value()}});
    }
}

void SlotHandover::reclaim(SlotNumber slot, OutgoingHandover &handover)
{
    handover.step = HandoverStep::Reclaiming;
    m_updater.acquire(slot, m_self, m_generations[slot]);
}

void SlotHandover::releaseSlot(SlotNumber slot)
{
    m_registry.release(slot);
    m_outgoing.erase(slot);
    m_incoming.erase(slot);
}

void SlotHandover::reply(const IncomingTransfer &incoming, SlotNumber slot, bool accepted)
{
    m_replies.emplace_back(HandoverMessage{incoming.from, TransferReply{incoming.transfer, slot, accepted}});
}

} // namespace Cardamomhill
