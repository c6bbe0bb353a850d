#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "objectstore/backoff.h"
#include "objectstore/followanswer.h"
#include "objectstore/followrequest.h"
#include "objectstore/followresult.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Decides the next list or long-poll watch call that follows the platform's changes. It does no I/O.
///
/// All kinds are listed first when no revision is known, when the platform's history does not reach back far enough,
/// and when its revision went backwards. One request is in flight at a time. Failed requests are retried with a
/// jittered back-off.
///
/// The caller sends what nextRequest() returns, reports the answer with the number of its request, and calls
/// nextRequest() again after each answer and at nextWakeUp().
class WatchScheduler
{
public:
    explicit WatchScheduler(std::vector<std::string> kinds);

    /// Starts after the revision up to which all changes are known (0 for none). Does nothing if already started.
    void start(std::uint64_t completeThrough, SteadyTime now, Random &random);

    /// Stops following, for example when this host is no longer a relay.
    void stop();

    bool isFollowing() const;

    /// The request to send now, if any. A request that timed out is treated as failed.
    std::optional<FollowRequest> nextRequest(SteadyTime now, Random &random);

    /// When to call nextRequest() again if no answer is received before.
    SteadyTime nextWakeUp() const;

    /// Processes the answer to a request. Answers to earlier requests are ignored.
    FollowResult onAnswer(std::uint64_t request, const FollowAnswer &answer);

    /// Reports a request that failed, for whatever reason.
    void onFailure(std::uint64_t request, SteadyTime now, Random &random);

    /// All changes after the revision given to start(), up to this revision, have been returned.
    std::uint64_t completeThrough() const;

    /// Failed requests since the last answer.
    std::size_t consecutiveFailures() const;

private:
    void beginListing();
    void updateProgress(const FollowAnswer &answer, FollowResult &result);

    std::vector<std::string> m_kinds;
    Backoff m_backoff;
    bool m_isFollowing = false;
    bool m_awaitsAnswer = false;
    SteadyTime m_due;
    SteadyTime m_sentAt;
    std::uint64_t m_request = 0;
    std::uint64_t m_completeThrough = 0;
    std::optional<std::size_t> m_kindToList;
    std::uint64_t m_listRevision = 0;
    std::size_t m_consecutiveFailures = 0;
};

} // namespace Cardamomhill
