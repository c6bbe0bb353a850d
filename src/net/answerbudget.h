#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Cardamomhill
{

struct HeldAnswer;

/// Decides which answers may be held in memory until they are whole or until their callers have read them. Together
/// they never hold more than the total. Small answers are not counted.
class AnswerBudget
{
public:
    explicit AnswerBudget(std::size_t totalBytes);

    /// Sets the total for bytes that are taken from now on.
    void setTotal(std::size_t totalBytes);

    /// Has an answer hold so many bytes, if the budget allows that. It must not move until it has given them back.
    /// @return whether it may; if not, it keeps what it holds
    bool take(HeldAnswer &answer, std::size_t bytes);

    /// As take(), but answers whose callers have read nothing for the stall time give way, the longest stalled first,
    /// if they suffice. They hold nothing from then on, and the caller of this function has to abort them at once.
    /// @return the answers that gave way, or nothing if the bytes were not granted
    std::optional<std::vector<HeldAnswer *>> takeFromStalled(HeldAnswer &answer, std::size_t bytes, SteadyTime now);

    /// Gives back all that an answer holds.
    void release(HeldAnswer &answer);

    std::size_t usedBytes() const;

    /// How often an answer was refused what it needed, and how many gave way.
    std::uint64_t refusedCount() const;
    std::uint64_t displacedCount() const;

private:
    /// Whether an answer may hold so many bytes while all others together hold `usedByOthers`.
    bool isWithinTotal(std::size_t usedByOthers, std::size_t bytes) const;
    void setHeld(HeldAnswer &answer, std::size_t bytes);

    std::size_t m_totalBytes;
    std::size_t m_usedBytes = 0;
    /// The answers that hold anything.
    std::vector<HeldAnswer *> m_answers;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_displacedCount = 0;
};

} // namespace Cardamomhill
