#include "membership/joinprogress.h"

#include <algorithm>

namespace Cardamomhill::internal
{

namespace
{

// Hosts that do not answer within this time are considered dead; seven requests fit into it.
constexpr Milliseconds AnswerTimeout(3000);
constexpr Milliseconds RequestInterval(400);

} // namespace

void JoinProgress::addHost(const ControlAddress &host)
{
    m_hosts.try_emplace(host);
}

void JoinProgress::onAnswer(
    const ControlAddress &host, std::uint64_t incarnation, bool isReady, bool isEqual, SteadyTime now)
{
    auto &entry = m_hosts[host];
    if (incarnation < entry.incarnation) {
        return;
    }
    if (incarnation > entry.incarnation) {
        // The host has restarted. Without the reset, two hosts that restart together could wait for each other for
        // ever.
        entry = Host{Progress::Unanswered, incarnation, false, entry.lastAsked, now};
    }
    // Objects received from a host before it became ready may be incomplete, so they are requested again.
    const bool becameReady = isReady && !entry.isReady;
    entry.isReady = entry.isReady || isReady;
    entry.lastAnswer = now;
    // Sent before the host became ready, but received later.
    const bool isOutdated = entry.isReady && !isReady;
    if (isEqual && !isOutdated) {
        entry.progress = Progress::Received;
    } else if (entry.progress == Progress::Unanswered || becameReady) {
        entry.progress = Progress::Answered;
    }
}

void JoinProgress::onObjects(const ControlAddress &host, bool isReady)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && found->second.progress == Progress::Answered && found->second.isReady == isReady) {
        found->second.progress = Progress::Received;
    }
}

std::vector<ControlAddress> JoinProgress::hostsToAsk(SteadyTime now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_start = now;
    }
    std::vector<ControlAddress> hosts;
    for (auto &[address, host] : m_hosts) {
        if (host.progress != Progress::Received
            && (host.lastAsked == SteadyTime() || now - host.lastAsked >= RequestInterval)) {
            host.lastAsked = now;
            hosts.push_back(address);
        }
    }
    return hosts;
}

bool JoinProgress::isComplete(SteadyTime now) const
{
    return anyReady() && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
               return isFinished(entry.second, now);
           });
}

bool JoinProgress::needsPlatform(SteadyTime now) const
{
    return hasTimedOut(now) && !anyReady();
}

void JoinProgress::shiftTimes(Microseconds pause)
{
    m_start += pause;
}

bool JoinProgress::hasTimedOut(SteadyTime now) const
{
    return m_hasStarted && now - m_start >= AnswerTimeout;
}

bool JoinProgress::isFinished(const Host &host, SteadyTime now) const
{
    return host.progress == Progress::Received || (hasTimedOut(now) && now - host.lastAnswer >= AnswerTimeout);
}

bool JoinProgress::anyReady() const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &entry) { return entry.second.isReady; });
}

} // namespace Cardamomhill::internal
