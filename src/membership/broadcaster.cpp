#include "membership/broadcaster.h"

#include "core/hash.h"
#include "membership/fanouttree.h"

#include <algorithm>

namespace Cardamomhill::internal
{

namespace
{

// Many times the round-trip time within a failure domain, and short enough for several attempts within the 3 s in which
// a leaving notice must arrive.
constexpr Milliseconds AcknowledgementTimeout(300);
// After these attempts, the change is repaired by comparing digests.
constexpr std::size_t AttemptLimit = 6;
constexpr std::size_t SeenLimit = 512;

} // namespace

Broadcaster::Broadcaster(std::uint64_t selfHash, std::uint64_t incarnation)
    : m_selfHash(selfHash)
    , m_lastNumber(incarnation)
{
}

void Broadcaster::originate(BroadcastMessage message,
                            std::vector<std::uint64_t> receivers,
                            SteadyTime now,
                            Random &random)
{
    message.origin = m_selfHash;
    message.number = ++m_lastNumber;
    markSeen(message, 0);
    std::shuffle(receivers.begin(), receivers.end(), random);
    forward(std::move(message), receivers, now);
}

bool Broadcaster::receive(const BroadcastMessage &message, std::uint64_t from, SteadyTime now)
{
    m_deliveries.emplace_back(from, Acknowledgement{m_selfHash, message.origin, message.number});
    if (!message.subtree.empty()
        && markSeen(message,
                    hash64({reinterpret_cast<const char *>(message.subtree.data()), message.subtree.size() * 8}))) {
        forward(message, message.subtree, now);
    }
    return markSeen(message, 0);
}

void Broadcaster::acknowledge(const Acknowledgement &acknowledgement)
{
    std::erase_if(m_outstanding, [&](const Outstanding &outstanding) {
        return outstanding.child == acknowledgement.host && outstanding.message.origin == acknowledgement.origin
            && outstanding.message.number == acknowledgement.number;
    });
}

void Broadcaster::tick(SteadyTime now)
{
    std::vector<Outstanding> reassigned;
    for (auto &outstanding : m_outstanding) {
        if (now - outstanding.sent < AcknowledgementTimeout) {
            continue;
        }
        if (!outstanding.message.subtree.empty()) {
            reassigned.push_back(outstanding);
            outstanding.message.subtree.clear();
        }
        ++outstanding.attempts;
        outstanding.sent = now;
        if (outstanding.attempts <= AttemptLimit) {
            m_deliveries.emplace_back(outstanding.child, outstanding.message);
        }
    }
    std::erase_if(m_outstanding, [](const Outstanding &outstanding) { return outstanding.attempts > AttemptLimit; });
    for (auto &outstanding : reassigned) {
        forward(outstanding.message, outstanding.message.subtree, now);
    }
}

std::vector<Broadcaster::Delivery> Broadcaster::takeDeliveries()
{
    return std::exchange(m_deliveries, {});
}

void Broadcaster::forward(BroadcastMessage message, const std::vector<std::uint64_t> &receivers, SteadyTime now)
{
    for (auto &branch : FanOutTree::split(receivers)) {
        message.subtree = std::move(branch.subtree);
        m_deliveries.emplace_back(branch.child, message);
        m_outstanding.push_back(Outstanding{branch.child, message, now});
    }
}

bool Broadcaster::markSeen(const BroadcastMessage &message, std::uint64_t subtreeHash)
{
    const SeenKey key(message.origin, message.number, subtreeHash);
    if (!m_seen.insert(key).second) {
        return false;
    }
    m_seenOrder.push_back(key);
    if (m_seenOrder.size() > SeenLimit) {
        m_seen.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return true;
}

} // namespace Cardamomhill::internal
