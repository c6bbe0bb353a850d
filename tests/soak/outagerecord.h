#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Records outages of a whole service and the requests that were rejected in them, and checks that those that are sent
/// again late enough are served.
class OutageRecord
{
public:
    void begin(SteadyTime now);
    void end(SteadyTime now);

    /// A request that was rejected in an outage was sent again.
    /// @param sentAt when it was sent again
    void retried(const std::string &request, SteadyTime sentAt, bool isServed);

    bool isOut(SteadyTime at) const;

    std::vector<std::string> violations() const;

    /// Number of retries that must be served.
    std::size_t checkedRetryCount() const;

private:
    struct Outage {
        SteadyTime begin{};
        SteadyTime end = SteadyTime::max();
    };
    struct Retry {
        std::string request;
        SteadyTime sentAt{};
        bool isServed = false;
    };

    /// Whether a request that is sent again then must be served.
    bool mustBeServed(SteadyTime sentAt) const;

    std::vector<Outage> m_outages;
    std::vector<Retry> m_retries;
};

} // namespace Cardamomhill
