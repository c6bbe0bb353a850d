#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Records outages of a whole service and the requests that met them, and checks what callers are promised: a request
/// that was rejected in an outage was not executed, and one that is retried late enough is served after it.
class OutageRecord
{
public:
    void begin(SteadyTime now);
    void end(SteadyTime now);

    /// A server began to execute the request.
    void ran(const std::string &request);
    /// The caller was told that the request was not executed.
    void rejected(const std::string &request, SteadyTime at);
    /// A request that was rejected in an outage was sent again.
    /// @param sentAt when it was sent again
    void retried(const std::string &request, SteadyTime sentAt, bool isServed);

    bool isOut(SteadyTime at) const;

    std::vector<std::string> violations() const;

    /// Number of rejections and of retries that the checks apply to.
    std::size_t rejectionCount() const;
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
    std::set<std::string> m_ran;
    std::set<std::string> m_rejected;
    std::vector<Retry> m_retries;
};

} // namespace Cardamomhill
