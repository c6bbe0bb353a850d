#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Cardamomhill
{

/// Checks that no cold server receives more calls in any second than the limit of its service.
class ColdArrivals
{
public:
    /// @param limit calls that all hosts together may send to a cold server in any second
    explicit ColdArrivals(std::size_t limit);

    /// The instance of a server is cold until the given time.
    void setCold(const std::string &instance, SteadyTime until);

    bool isCold(const std::string &instance, SteadyTime now) const;

    /// Counts a call that a server runs. Returns false if a cold one has received more than the limit within a second.
    bool recordRun(const std::string &instance, SteadyTime now);

    /// Ignores the calls so far, since some of them may have been held up on their way.
    void forget(const std::string &instance);
    void forgetAll();

private:
    struct Instance {
        SteadyTime coldUntil{};
        /// Times of the calls in the last second, in order.
        std::deque<SteadyTime> runs;
    };

    std::size_t m_limit;
    std::map<std::string, Instance> m_instances;
};

} // namespace Cardamomhill
