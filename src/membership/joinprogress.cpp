#include "membership/joinprogress.h"

#include <algorithm>

namespace Cardamomhill::internal
{

namespace
{

// Hosts that do not answer in this time are taken for dead; seven requests fit into it.
constexpr Milliseconds AnswerTime(3000);
constexpr Milliseconds RequestInterval(400);

} // namespace

void JoinProgress::expect(const NodeAddress &host)
{
    m_hosts.try_emplace(host);
}

void JoinProgress::answered(
    const NodeAddress &host, std::uint64_t incarnation, bool isReady, bool isEqual, SteadyTime now)
{
    auto &entry = m_hosts[host];
    if (incarnation < entry.incarnation) {
        return;
    }
    if (incarnation > entry.incarnation) {
        // The process was restarted and may wait for this one in turn.
        entry = Host{Progress::Silent, incarnation, false, entry.asked, now};
    }
    // What was received from a host before it became ready may be only a part.
    const bool becameReady = isReady && !entry.isReady;
    entry.isReady = entry.isReady || isReady;
    entry.lastAnswer = now;
    const bool isLate = entry.isReady && !isReady;
    if (isEqual && !isLate) {
        entry.progress = Progress::Received;
    } else if (entry.progress == Progress::Silent || becameReady) {
        entry.progress = Progress::Answered;
    }
}

void JoinProgress::received(const NodeAddress &host, bool isReady)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && found->second.progress == Progress::Answered && found->second.isReady == isReady) {
        found->second.progress = Progress::Received;
    }
}

std::vector<NodeAddress> JoinProgress::hostsToAsk(SteadyTime now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_start = now;
    }
    std::vector<NodeAddress> hosts;
    for (auto &[address, host] : m_hosts) {
        if (host.progress != Progress::Received
            && (host.asked == SteadyTime() || now - host.asked >= RequestInterval)) {
            host.asked = now;
            hosts.push_back(address);
        }
    }
    return hosts;
}

bool JoinProgress::isComplete(SteadyTime now) const
{
    return anyReady()
        && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) { return isSettled(entry.second, now); });
}

bool JoinProgress::needsPlatform(SteadyTime now) const
{
    return isOver(now) && !anyReady();
}

void JoinProgress::shiftTimes(Microseconds pause)
{
    m_start += pause;
}

bool JoinProgress::isOver(SteadyTime now) const
{
    return m_hasStarted && now - m_start >= AnswerTime;
}

bool JoinProgress::isSettled(const Host &host, SteadyTime now) const
{
    return host.progress == Progress::Received || (isOver(now) && now - host.lastAnswer >= AnswerTime);
}

bool JoinProgress::anyReady() const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &entry) { return entry.second.isReady; });
}

} // namespace Cardamomhill::internal
