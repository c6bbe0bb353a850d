#include "net/answerbudget.h"

#include "net/heldanswer.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Most answers and nearly all events are smaller.
constexpr std::size_t SmallAnswerBytes = 16 * 1024;
/// A caller that reads takes a piece of its answer (8 KB or more) in this time on a link of 0.07 Mbit/s.
constexpr Milliseconds StallTime{1000};

} // namespace

AnswerBudget::AnswerBudget(std::size_t totalBytes)
    : m_totalBytes(totalBytes)
{
}

void AnswerBudget::setTotal(std::size_t totalBytes)
{
    m_totalBytes = totalBytes;
}

bool AnswerBudget::take(HeldAnswer &answer, std::size_t bytes)
{
    if (bytes <= SmallAnswerBytes || bytes <= answer.bytes) {
        return true;
    }
    if (!isWithinTotal(m_usedBytes - answer.bytes, bytes)) {
        ++m_refusedCount;
        return false;
    }
    setHeld(answer, bytes);
    return true;
}

std::optional<std::vector<HeldAnswer *>>
AnswerBudget::takeFromStalled(HeldAnswer &answer, std::size_t bytes, SteadyTime now)
{
    std::vector<HeldAnswer *> stalled;
    for (auto *const other : m_answers) {
        if (other != &answer && other->waitsSince && now - *other->waitsSince >= StallTime) {
            stalled.push_back(other);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const HeldAnswer *left, const HeldAnswer *right) {
        return *left->waitsSince < *right->waitsSince;
    });
    auto usedByOthers = m_usedBytes - answer.bytes;
    std::size_t count = 0;
    while (count < stalled.size() && !isWithinTotal(usedByOthers, bytes)) {
        usedByOthers -= stalled[count++]->bytes;
    }
    if (!isWithinTotal(usedByOthers, bytes)) {
        ++m_refusedCount;
        return std::nullopt;
    }
    stalled.resize(count);
    for (auto *const displaced : stalled) {
        release(*displaced);
    }
    m_displacedCount += count;
    take(answer, bytes);
    return stalled;
}

void AnswerBudget::release(HeldAnswer &answer)
{
    setHeld(answer, 0);
}

std::size_t AnswerBudget::usedBytes() const
{
    return m_usedBytes;
}

std::uint64_t AnswerBudget::refusedCount() const
{
    return m_refusedCount;
}

std::uint64_t AnswerBudget::displacedCount() const
{
    return m_displacedCount;
}

bool AnswerBudget::isWithinTotal(std::size_t usedByOthers, std::size_t bytes) const
{
    // The total may have been lowered below what others hold.
    return usedByOthers <= m_totalBytes && bytes <= m_totalBytes - usedByOthers;
}

void AnswerBudget::setHeld(HeldAnswer &answer, std::size_t bytes)
{
    if (answer.bytes == 0 && bytes > 0) {
        m_answers.push_back(&answer);
    } else if (answer.bytes > 0 && bytes == 0) {
        std::erase(m_answers, &answer);
    }
    m_usedBytes = m_usedBytes - answer.bytes + bytes;
    answer.bytes = bytes;
}

} // namespace Cardamomhill
