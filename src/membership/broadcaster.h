#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "membership/membershipmessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace Cardamomhill::internal
{

/// Sends changes down the fan-out tree and retransmits them until each child has acknowledged.
///
/// If a child does not acknowledge in time, this host also sends to the child's subtree, so that one lost message or
/// dead host delays the other receivers by one timeout only.
class Broadcaster
{
public:
    using Delivery = std::pair<std::uint64_t, MembershipMessage>;

    /// Message numbers start at the incarnation, so that a restarted host does not reuse them.
    Broadcaster(std::uint64_t selfHash, std::uint64_t incarnation);

    /// Starts a broadcast to the receivers, given as hashes of hosts.
    void originate(BroadcastMessage message, std::vector<std::uint64_t> receivers, SteadyTime now, Random &random);

    /// Queues the acknowledgement and the messages for the subtree. Returns whether the content is new.
    bool receive(const BroadcastMessage &message, std::uint64_t from, SteadyTime now);

    void acknowledge(const Acknowledgement &acknowledgement);

    void tick(SteadyTime now);

    /// The messages to send now, with the hashes of their receivers.
    std::vector<Delivery> takeDeliveries();

private:
    struct Outstanding {
        std::uint64_t child = 0;
        BroadcastMessage message;
        SteadyTime sent;
        std::size_t attempts = 1;
    };
    /// Origin, number, and hash of the subtree or 0 for the message itself.
    using SeenKey = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;

    void forward(BroadcastMessage message, const std::vector<std::uint64_t> &receivers, SteadyTime now);
    bool markSeen(const BroadcastMessage &message, std::uint64_t subtreeHash);

    std::uint64_t m_selfHash;
    std::uint64_t m_lastNumber;
    std::vector<Outstanding> m_outstanding;
    std::vector<Delivery> m_deliveries;
    std::set<SeenKey> m_seen;
    std::deque<SeenKey> m_seenOrder;
};

} // namespace Cardamomhill::internal
