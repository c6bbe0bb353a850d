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

/// Follows the platform's changes by a long-poll watch.
///
/// All kinds are listed first when nothing is known, when the platform's history does not reach back far enough, and
/// when its revision went backwards. One request is under way at a time. Failures are followed by a back-off with a
/// random part.
///
/// The caller sends what nextRequest() returns, reports the answer with the number of its request, and calls
/// nextRequest() again after each answer and at nextWakeUp().
class WatchFollower
{
public:
    explicit WatchFollower(std::vector<std::string> kinds);

    /// Begins to follow after the revision up to which all changes are known (0 for none). Does nothing while
    /// following.
    void start(std::uint64_t completeThrough, SteadyTime now, Random &random);

    /// Stops to follow, such as when this host is no relay any more.
    void stop();

    bool isFollowing() const;

    /// The request to send now, if any. A request without an answer in time counts as failed.
    std::optional<FollowRequest> nextRequest(SteadyTime now, Random &random);

    /// When to call nextRequest() again without an answer.
    SteadyTime nextWakeUp() const;

    /// Takes the answer to a request. Answers to earlier requests are ignored.
    FollowResult onAnswer(std::uint64_t request, const FollowAnswer &answer);

    /// The request failed in any way.
    void onFailure(std::uint64_t request, SteadyTime now, Random &random);

    /// All changes up to this revision were returned, provided that they were returned after `start`.
    std::uint64_t completeThrough() const;

    /// Failures since the last answer.
    std::size_t consecutiveFailures() const;

private:
    void beginListing();
    void advance(const FollowAnswer &answer, FollowResult &result);

    std::vector<std::string> m_kinds;
    Backoff m_backoff;
    bool m_isFollowing = false;
    bool m_awaitsAnswer = false;
    SteadyTime m_due;
    SteadyTime m_sent;
    std::uint64_t m_request = 0;
    std::uint64_t m_completeThrough = 0;
    std::optional<std::size_t> m_kindToList;
    std::uint64_t m_listRevision = 0;
    std::size_t m_consecutiveFailures = 0;
};

} // namespace Cardamomhill
