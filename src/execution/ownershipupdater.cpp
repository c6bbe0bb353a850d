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
constexpr Microseconds firstRetryDelay = Milliseconds(100);
constexpr unsigned maximumDoublings = 5;

} // namespace

OwnershipUpdater::OwnershipUpdater(BackendServerId self, Random &random)
    : m_self(std::move(self))
    , m_random(random)
{
}

OperationId OwnershipUpdater::drawOperation()
{
    std::array<char, 33> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(m_random()),
                  static_cast<unsigned long long>(m_random()));
    return OperationId(text.data());
}

void OwnershipUpdater::begin(SlotNumber slot,
                             BackendServerId expectedOwner,
                             std::optional<std::uint64_t> expectedGeneration)
{
    m_goals.insert_or_assign(slot, Goal{std::move(expectedOwner), expectedGeneration, drawOperation()});
    requestRead();
}

void OwnershipUpdater::requestRead()
{
    m_readWanted = true;
}

std::optional<TableCall> OwnershipUpdater::poll(SteadyTime now)
{
    if (m_outstanding && now - m_sentAt >= callTimeout) {
        callFailed(m_lastCall, now);
    }
    if (m_outstanding || now < m_notBefore || (!m_nextWrite && !m_readWanted)) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_sentAt = now;
    TableCall call{++m_lastCall, std::exchange(m_nextWrite, std::nullopt)};
    // A write is always followed by a read.
    m_readWanted = call.write.has_value();
    return call;
}

bool OwnershipUpdater::isOutstanding(std::uint64_t call) const
{
    return m_outstanding && call == m_lastCall;
}

OwnershipUpdater::RowCheck OwnershipUpdater::check(const Goal &goal, const SlotEntry &entry) const
{
    if (entry.operation == goal.operation) {
        return RowCheck::Gained;
    }
    if (goal.expectedGeneration && entry.generation < *goal.expectedGeneration) {
        return RowCheck::Stale;
    }
    if (entry.owner != goal.expectedOwner
        || (goal.expectedGeneration && entry.generation != *goal.expectedGeneration)) {
        return RowCheck::Lost;
    }
    return RowCheck::Unchanged;
}

std::optional<std::vector<OwnershipOutcome>>
OwnershipUpdater::tableRead(std::uint64_t call, const SlotTable &table, SteadyTime now)
{
    if (!isOutstanding(call)) {
        return std::nullopt;
    }
    m_outstanding = false;
    std::vector<OwnershipOutcome> outcomes;
    SlotTable changed = table;
    bool anyChange = false;
    for (auto position = m_goals.begin(); position != m_goals.end();) {
        auto &[slot, goal] = *position;
        const SlotEntry &entry = table.entry(slot);
        const RowCheck result = check(goal, entry);
        if (result == RowCheck::Gained || result == RowCheck::Lost) {
            outcomes.push_back({slot, result == RowCheck::Gained, entry.generation});
            position = m_goals.erase(position);
            continue;
        }
        if (result == RowCheck::Unchanged) {
            goal.expectedGeneration = entry.generation;
            changed.assign(slot, m_self, SlotEntryState::Owned, goal.operation);
            anyChange = true;
        }
        ++position;
    }
    if (anyChange) {
        changed.setOperation(drawOperation());
        m_nextWrite = std::move(changed);
    } else if (!m_goals.empty()) {
        requestRead();
        retryLater(now);
    } else {
        m_retries = 0;
    }
    return outcomes;
}

void OwnershipUpdater::writeEnded(std::uint64_t call, SteadyTime now)
{
    if (isOutstanding(call)) {
        m_outstanding = false;
        // The first read follows at once; each further round of writes waits longer, because others write too.
        if (m_retries++ > 0) {
            retryLater(now);
        }
    }
}

void OwnershipUpdater::callFailed(std::uint64_t call, SteadyTime now)
{
    if (isOutstanding(call)) {
        m_outstanding = false;
        m_readWanted = true;
        retryLater(now);
    }
}

void OwnershipUpdater::retryLater(SteadyTime now)
{
    const auto longest = firstRetryDelay * (1U << std::min(m_retries, maximumDoublings));
    ++m_retries;
    std::uniform_int_distribution<Microseconds::rep> delay(longest.count() / 2, longest.count());
    m_notBefore = now + Microseconds(delay(m_random));
}

} // namespace Cardamomhill
