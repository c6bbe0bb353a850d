#pragma once

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Decides which answers may be held in memory until they are whole or until their callers have read them. Together
/// they never hold more than the total. Small answers are not counted.
class AnswerBudget
{
public:
    explicit AnswerBudget(std::size_t totalBytes);

    /// Sets the total for bytes that are taken from now on.
    void setTotal(std::size_t totalBytes);

    /// Has an answer that holds `heldBytes` hold `bytes`, if the budget allows that.
    /// @return whether it may; if not, it keeps what it holds
    bool take(std::size_t &heldBytes, std::size_t bytes);

    /// Gives back all that an answer holds.
    void release(std::size_t &heldBytes);

    std::size_t usedBytes() const;

    /// How often an answer was refused what it needed.
    std::uint64_t refusedCount() const;

private:
    std::size_t m_totalBytes;
    std::size_t m_usedBytes = 0;
    std::uint64_t m_refusedCount = 0;
};

} // namespace Cardamomhill
