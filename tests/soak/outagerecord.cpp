#include "soak/outagerecord.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// A retried request waits for up to 1.6 s (0.8 of the 2 s after which callers leave a silent stream), less two steps.
/// A host notices the end of an outage by a probe each half second; as long again is allowed for the next new request
/// that can be the probe.
constexpr Milliseconds WaitTime{1500};
constexpr Milliseconds NoticeTime{1000};
/// Time in which a request that is sent again is complete: its wait, and a stream of ten events.
constexpr Milliseconds CompletionTime{2500};

} // namespace

void OutageRecord::begin(SteadyTime now)
{
    m_outages.push_back({now});
}

void OutageRecord::end(SteadyTime now)
{
    m_outages.back().end = now;
}

void OutageRecord::retried(const std::string &request, SteadyTime sentAt, bool isServed)
{
    m_retries.push_back({request, sentAt, isServed});
}

bool OutageRecord::isOut(SteadyTime at) const
{
    return std::any_of(m_outages.begin(), m_outages.end(), [at](const Outage &outage) {
        return outage.begin <= at && at < outage.end;
    });
}

bool OutageRecord::mustBeServed(SteadyTime sentAt) const
{
    return std::all_of(m_outages.begin(), m_outages.end(), [sentAt](const Outage &outage) {
        const bool isBefore = outage.end != SteadyTime::max() && outage.end + NoticeTime <= sentAt + WaitTime;
        return isBefore || sentAt + CompletionTime <= outage.begin;
    });
}

std::vector<std::string> OutageRecord::violations() const
{
    std::vector<std::string> all;
    for (const auto &retry : m_retries) {
        if (!retry.isServed && mustBeServed(retry.sentAt)) {
            all.push_back(retry.request + " was retried and not served after an outage");
        }
    }
    return all;
}

std::size_t OutageRecord::checkedRetryCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_retries.begin(), m_retries.end(), [this](const Retry &retry) { return mustBeServed(retry.sentAt); }));
}

} // namespace Cardamomhill
