#include "objectstore/watchscheduler.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

// An unresponsive connection is detected only after the poll timeout, so this timeout is part of the 5 s within which a
// change must take effect.
constexpr Milliseconds PollTimeout(2000);
constexpr Milliseconds AnswerMargin(1000);
// A list of 38,000 organisations is about 11 MB.
constexpr Milliseconds ListTimeout(10000);
// Only two hosts of a failure domain follow, so short delays do not overload a platform that is available again: the 28
// followers at the target size make at most 28 calls in each second of an outage.
constexpr Milliseconds FirstRetryDelay(200);
constexpr Milliseconds MaxRetryDelay(2000);
// Spreads the first requests of hosts that start at the same time.
constexpr Milliseconds MaxStartDelay(500);
// Limits the rate of calls during a burst of changes, and when the platform answers polls immediately.
constexpr Milliseconds MinRequestInterval(50);

} // namespace

WatchScheduler::WatchScheduler(std::vector<std::string> kinds)
    : m_kinds(std::move(kinds))
    , m_backoff(FirstRetryDelay, MaxRetryDelay)
{
}

void WatchScheduler::start(std::uint64_t completeThrough, SteadyTime now, Random &random)
{
    if (m_isFollowing) {
        return;
    }
    m_isFollowing = true;
    m_completeThrough = std::max(m_completeThrough, completeThrough);
    if (m_completeThrough == 0) {
        beginListing();
    }
    std::uniform_int_distribution<Milliseconds::rep> delay(0, MaxStartDelay.count());
    m_due = now + Milliseconds(delay(random));
}

void WatchScheduler::stop()
{
    m_isFollowing = false;
    m_awaitsAnswer = false;
    m_kindToList.reset();
}

bool WatchScheduler::isFollowing() const
{
    return m_isFollowing;
}

std::optional<FollowRequest> WatchScheduler::nextRequest(SteadyTime now, Random &random)
{
    if (!m_isFollowing || now < m_due) {
        return std::nullopt;
    }
    if (m_awaitsAnswer) {
        onFailure(m_request, now, random);
        return std::nullopt;
    }
    m_awaitsAnswer = true;
    m_sentAt = now;
    ++m_request;
    if (m_kindToList.has_value()) {
        m_due = now + ListTimeout;
        return ListRequest{m_request, m_kinds.at(*m_kindToList)};
    }
    m_due = now + PollTimeout + AnswerMargin;
    return WatchRequest{m_request, m_completeThrough, PollTimeout};
}

SteadyTime WatchScheduler::nextWakeUp() const
{
    return m_isFollowing ? m_due : SteadyTime::max();
}

FollowResult WatchScheduler::onAnswer(std::uint64_t request, const FollowAnswer &answer)
{
    FollowResult result;
    if (!m_isFollowing || !m_awaitsAnswer || request != m_request) {
        return result;
    }
    m_awaitsAnswer = false;
    m_due = m_sentAt + MinRequestInterval;
    m_backoff.reset();
    m_consecutiveFailures = 0;
    for (const auto &object : answer.objects) {
        auto converted = toVersionedObject(object);
        if (converted.has_value()) {
            result.objects.push_back(std::move(converted.value()));
        } else {
            result.rejected.push_back(std::move(converted.error()));
        }
    }
    updateProgress(answer, result);
    return result;
}

void WatchScheduler::onFailure(std::uint64_t request, SteadyTime now, Random &random)
{
    if (m_awaitsAnswer && request == m_request) {
        m_awaitsAnswer = false;
        ++m_consecutiveFailures;
        m_due = now + m_backoff.next(random);
    }
}

std::uint64_t WatchScheduler::completeThrough() const
{
    return m_completeThrough;
}

std::size_t WatchScheduler::consecutiveFailures() const
{
    return m_consecutiveFailures;
}

void WatchScheduler::beginListing()
{
    m_kindToList = 0;
}

void WatchScheduler::updateProgress(const FollowAnswer &answer, FollowResult &result)
{
    if (!m_kindToList.has_value()) {
        result.revisionWentBack = answer.revision < m_completeThrough;
        if (answer.historyGone || result.revisionWentBack) {
            beginListing();
        } else {
            m_completeThrough = answer.revision;
        }
        return;
    }
    // The kinds are listed one after the other. The watch continues from the lowest revision of these lists, so that a
    // write between two lists is not missed.
    m_listRevision = *m_kindToList == 0 ? answer.revision : std::min(m_listRevision, answer.revision);
    if (++*m_kindToList == m_kinds.size()) {
        m_kindToList.reset();
        m_completeThrough = m_listRevision;
    }
}

} // namespace Cardamomhill
