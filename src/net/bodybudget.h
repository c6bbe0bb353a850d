#pragma once

#include "core/clocktypes.h"
#include "net/bodybudgetlimits.h"
#include "net/bodygrant.h"

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// Decides which bodies of requests may take how much memory. Together they never hold more than the total. If a body
/// needs more than is left, those that have gone longest without progress give way, as far as that suffices; else it is
/// refused. A whole body, whose request is being served, never gives way.
class BodyBudget
{
public:
    explicit BodyBudget(const BodyBudgetLimits &limits);

    /// Sets the limits for bytes that are taken from now on.
    void setLimits(const BodyBudgetLimits &limits);

    /// Adds a body that holds nothing yet.
    BodyId open(SteadyTime now);

    /// Has a body hold so many bytes, if the budget allows that. A body that is refused keeps what it holds. A body
    /// that was dropped is refused.
    BodyGrant take(BodyId id, std::size_t bytes, SteadyTime now);

    /// Notes how much of a body has arrived. Returns whether that is progress.
    bool recordReceived(BodyId id, std::size_t bytes, SteadyTime now);

    /// Notes that a body has arrived whole. From now on it is never dropped.
    void complete(BodyId id);

    /// Gives back what a body holds. Nothing happens if it was dropped.
    void close(BodyId id);

    std::size_t usedBytes() const;
    std::size_t bodyCount() const;

private:
    struct Body {
        BodyId id = 0;
        std::size_t heldBytes = 0;
        /// What had arrived when the body last made progress.
        std::size_t markedBytes = 0;
        SteadyTime lastProgress{};
        bool isComplete = false;
    };
    using Bodies = std::list<Body>;

    bool isLarge(std::size_t bytes) const;
    std::size_t largeBytes(std::size_t bytes) const;
    /// Whether the total and the share of large bodies allow for the given use.
    bool isWithinLimits(std::size_t used, std::size_t usedByLarge) const;
    /// The bodies that have to give way if the body is to hold so many bytes. Sets whether they suffice.
    std::vector<BodyId> bodiesInTheWayOf(const Body &body, std::size_t bytes, SteadyTime now, bool &suffices) const;
    void setHeld(Body &body, std::size_t bytes);

    BodyBudgetLimits m_limits;
    /// Bodies that have not arrived whole, in the order of their last progress, and those that have.
    Bodies m_arriving;
    Bodies m_complete;
    std::unordered_map<BodyId, Bodies::iterator> m_bodies;
    BodyId m_nextId = 1;
    std::size_t m_usedBytes = 0;
    std::size_t m_largeBytes = 0;
};

} // namespace Cardamomhill
