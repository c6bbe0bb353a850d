#include "execution/ownershipupdater.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr Microseconds callTimeout = Seconds(2);
constexpr Microseconds initialRetryDelay = Milliseconds(100);
// The longest retry delay is 3.2 s.
constexpr unsigned maximumDoublings = 5;

} // namespace

OwnershipUpdater::OwnershipUpdater(BackendServerId self, Random &random)
    : m_self(std::move(self))
    , m_random(random)
{
}

OperationId OwnershipUpdater::generateOperationId()
{
    std::array<char, 33> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(m_random()),
                  static_cast<unsigned long long>(m_random()));
    return OperationId(text.data());
}

void OwnershipUpdater::acquire(SlotNumber slot,
                               BackendServerId expectedOwner,
                               std::optional<std::uint64_t> expectedGeneration)
{
    m_pending.insert_or_assign(slot,
                               PendingUpdate{std::move(expectedOwner), expectedGeneration, generateOperationId()});
    requestRead();
}

void OwnershipUpdater::requestRead()
{
    m_isReadRequested = true;
}

std::optional<SlotTableCall> OwnershipUpdater::poll(SteadyTime now)
{
    if (m_isCallOutstanding && now - m_sentAt >= callTimeout) {
        handleCallFailure(m_lastCall, now);
    }
    if (m_isCallOutstanding || now < m_nextCallAt || (!m_nextWrite && !m_isReadRequested)) {
        return std::nullopt;
    }
    m_isCallOutstanding = true;
    m_sentAt = now;
    SlotTableCall call{++m_lastCall, std::exchange(m_nextWrite, std::nullopt)};
    // A write is always followed by a read.
    m_isReadRequested = call.write.has_value();
    return call;
}

bool OwnershipUpdater::isOutstanding(std::uint64_t call) const
{
    return m_isCallOutstanding && call == m_lastCall;
}

OwnershipUpdater::RowCheck OwnershipUpdater::check(const PendingUpdate &update, const SlotEntry &entry) const
{
    if (entry.operation == update.operation) {
        return RowCheck::Acquired;
    }
    if (update.expectedGeneration && entry.generation < *update.expectedGeneration) {
        return RowCheck::Stale;
    }
    if (entry.owner != update.expectedOwner
        || (update.expectedGeneration && entry.generation != *update.expectedGeneration)) {
        return RowCheck::Lost;
    }
    return RowCheck::Unchanged;
}

std::optional<std::vector<OwnershipOutcome>>
OwnershipUpdater::handleTableRead(std::uint64_t call, const SlotTable &table, SteadyTime now)
{
    if (!isOutstanding(call)) {
        return std::nullopt;
    }
    m_isCallOutstanding = false;
    std::vector<OwnershipOutcome> outcomes;
    SlotTable changed = table;
    bool anyChange = false;
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        auto &[slot, update] = *position;
        const SlotEntry &entry = table.entry(slot);
        const RowCheck result = check(update, entry);
        if (result == RowCheck::Acquired || result == RowCheck::Lost) {
            outcomes.push_back({slot, result == RowCheck::Acquired, entry.generation});
            position = m_pending.erase(position);
            continue;
        }
        if (result == RowCheck::Unchanged) {
            update.expectedGeneration = entry.generation;
            changed.assign(slot, m_self, SlotEntryState::Owned, update.operation);
            anyChange = true;
        }
        ++position;
    }
    if (anyChange) {
        changed.setOperation(generateOperationId());
        m_nextWrite = std::move(changed);
    } else if (!m_pending.empty()) {
        requestRead();
        scheduleRetry(now);
    } else {
        m_retries = 0;
    }
    return outcomes;
}

void OwnershipUpdater::handleWriteResponse(std::uint64_t call, SteadyTime now)
{
    if (isOutstanding(call)) {
        m_isCallOutstanding = false;
        // The read after the first write follows at once. After each further write it waits longer, because other
        // agents write to the table too.
        if (m_retries++ > 0) {
            scheduleRetry(now);
        }
    }
}

void OwnershipUpdater::handleCallFailure(std::uint64_t call, SteadyTime now)
{
    if (isOutstanding(call)) {
        m_isCallOutstanding = false;
        m_isReadRequested = true;
        scheduleRetry(now);
    }
}

void OwnershipUpdater::scheduleRetry(SteadyTime now)
{
    const auto longest = initialRetryDelay * (1U << std::min(m_retries, maximumDoublings));
    ++m_retries;
    std::uniform_int_distribution<Microseconds::rep> delay(longest.count() / 2, longest.count());
    m_nextCallAt = now + Microseconds(delay(m_random));
}

} // namespace Cardamomhill
