#include "net/answerbudget.h"

namespace Cardamomhill
{

namespace
{

/// Most answers and nearly all events are smaller.
constexpr std::size_t SmallAnswerBytes = 16 * 1024;

} // namespace

AnswerBudget::AnswerBudget(std::size_t totalBytes)
    : m_totalBytes(totalBytes)
{
}

void AnswerBudget::setTotal(std::size_t totalBytes)
{
    m_totalBytes = totalBytes;
}

bool AnswerBudget::take(std::size_t &heldBytes, std::size_t bytes)
{
    if (bytes <= SmallAnswerBytes || bytes <= heldBytes) {
        return true;
    }
    const auto usedByOthers = m_usedBytes - heldBytes;
    // The total may have been lowered below what others hold.
    if (usedByOthers > m_totalBytes || bytes > m_totalBytes - usedByOthers) {
        ++m_refusedCount;
        return false;
    }
    m_usedBytes = usedByOthers + bytes;
    heldBytes = bytes;
    return true;
}

void AnswerBudget::release(std::size_t &heldBytes)
{
    m_usedBytes -= heldBytes;
    heldBytes = 0;
}

std::size_t AnswerBudget::usedBytes() const
{
    return m_usedBytes;
}

std::uint64_t AnswerBudget::refusedCount() const
{
    return m_refusedCount;
}

} // namespace Cardamomhill
