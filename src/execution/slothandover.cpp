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
// Long enough for a transfer of 1 MB, two reads and a write with one lost response; a sealed slot serves nobody.
constexpr Microseconds transferTimeout = Seconds(6);

} // namespace

SlotHandover::SlotHandover(BackendServerId self, ExecutionRegistry &registry, Random &random)
    : m_self(self)
    , m_registry(registry)
    , m_random(random)
    , m_updater(std::move(self), random)
{
}

void SlotHandover::observe(const SlotTable &table)
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
            m_updater.begin(slot, m_self, std::nullopt);
        }
    }
}

Result<void, HandoverError> SlotHandover::give(SlotNumber slot, const BackendServerId &to)
{
    if (to == m_self) {
        return failure(HandoverError{HandoverErrorCode::ToItself, slot});
    }
    if (m_gives.contains(slot)) {
        return failure(HandoverError{HandoverErrorCode::AlreadyMoving, slot});
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
    m_gives.emplace(slot, Give{to, TransferId(text.data()), GiveStep::Checking, {}, {}});
    m_updater.requestRead();
    return success();
}

void SlotHandover::receive(const BackendServerId &from, const SlotTransfer &transfer)
{
    const SlotNumber slot = transfer.content.slot;
    const Take take{from, transfer.transfer};
    const auto known = m_takes.find(slot);
    if (known != m_takes.end() && known->second.transfer == transfer.transfer) {
        // While the update is pending, the reply follows with its outcome.
        if (m_registry.phase(slot) != SlotPhase::Imported) {
            reply(take, slot, true);
        }
        return;
    }
    if (m_registry.isLeaving() || m_updater.isPending(slot) || m_registry.importSlot(transfer.content).has_error()) {
        reply(take, slot, false);
        return;
    }
    m_takes.insert_or_assign(slot, take);
    m_updater.begin(slot, from, transfer.generation);
}

void SlotHandover::receive(const TransferReply &reply)
{
    const auto position = m_gives.find(reply.slot);
    if (position == m_gives.end() || position->second.transfer != reply.transfer
        || position->second.step != GiveStep::Transferring) {
        return;
    }
    if (reply.taken) {
        releaseSlot(reply.slot);
    } else {
        takeBack(reply.slot, position->second);
    }
}

void SlotHandover::tableRead(std::uint64_t call, const SlotTable &table, SteadyTime now, WallTime wall)
{
    const auto outcomes = m_updater.tableRead(call, table, now);
    if (!outcomes) {
        return;
    }
    for (const OwnershipOutcome &outcome : *outcomes) {
        apply(outcome, wall);
    }
    observe(table);
    startChecked(table);
}

void SlotHandover::apply(const OwnershipOutcome &outcome, WallTime wall)
{
    const SlotNumber slot = outcome.slot;
    const auto take = m_takes.find(slot);
    if (!outcome.gained) {
        if (take != m_takes.end()) {
            reply(take->second, slot, false);
        }
        releaseSlot(slot);
        return;
    }
    m_generations[slot] = outcome.generation;
    m_gives.erase(slot);
    switch (m_registry.phase(slot)) {
    case SlotPhase::NotOwned:
        (void)m_registry.serve(slot, wall);
        break;
    case SlotPhase::Imported:
        (void)m_registry.activate(slot);
        reply(take->second, slot, true);
        break;
    case SlotPhase::Sealed:
    case SlotPhase::Exported:
        (void)m_registry.unseal(slot);
        break;
    case SlotPhase::Serving:
        break;
    }
}

void SlotHandover::startChecked(const SlotTable &table)
{
    for (auto position = m_gives.begin(); position != m_gives.end();) {
        auto &[slot, give] = *position;
        if (give.step == GiveStep::Checking) {
            const bool held = table.entry(slot).generation == m_generations[slot];
            if (!held || m_registry.seal(slot).has_error()) {
                position = m_gives.erase(position);
                continue;
            }
            give.step = GiveStep::Draining;
        }
        ++position;
    }
}

void SlotHandover::writeEnded(std::uint64_t call, SteadyTime now)
{
    m_updater.writeEnded(call, now);
}

void SlotHandover::callFailed(std::uint64_t call, SteadyTime now)
{
    m_updater.callFailed(call, now);
}

std::vector<HandoverAction> SlotHandover::poll(SteadyTime now)
{
    std::vector<HandoverAction> actions = std::exchange(m_replies, {});
    for (auto &[slot, give] : m_gives) {
        pollGive(slot, give, now, actions);
    }
    if (auto call = m_updater.poll(now)) {
        actions.emplace_back(std::move(*call));
    }
    return actions;
}

void SlotHandover::pollGive(SlotNumber slot, Give &give, SteadyTime now, std::vector<HandoverAction> &actions)
{
    if (give.step == GiveStep::Draining && m_registry.isDrained(slot)) {
        give.step = GiveStep::Transferring;
        give.deadline = now + transferTimeout;
        give.nextSend = now;
    }
    if (give.step != GiveStep::Transferring) {
        return;
    }
    if (now >= give.deadline) {
        takeBack(slot, give);
    } else if (now >= give.nextSend) {
        give.nextSend = now + resendInterval;
        auto content = m_registry.exportSlot(slot);
        actions.emplace_back(
            HandoverMessage{give.to, SlotTransfer{give.transfer, m_generations[slot], std::move(content).value()}});
    }
}

void SlotHandover::takeBack(SlotNumber slot, Give &give)
{
    give.step = GiveStep::TakingBack;
    m_updater.begin(slot, m_self, m_generations[slot]);
}

void SlotHandover::releaseSlot(SlotNumber slot)
{
    m_registry.release(slot);
    m_gives.erase(slot);
    m_takes.erase(slot);
}

void SlotHandover::reply(const Take &take, SlotNumber slot, bool taken)
{
    m_replies.emplace_back(HandoverMessage{take.from, TransferReply{take.transfer, slot, taken}});
}

} // namespace Cardamomhill
