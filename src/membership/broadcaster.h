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

/// Sends changes down the fan-out tree and repeats them until each child has acknowledged.
///
/// When a child does not answer, its part of the tree is served from here, so that one lost message or dead host delays
/// the others by one time limit only.
class Broadcaster
{
public:
    using Delivery = std::pair<std::uint64_t, MembershipMessage>;

    /// The origin's number space must not be reused after a restart, so numbers begin with the incarnation.
    Broadcaster(std::uint64_t self, std::uint64_t incarnation);

    void originate(BroadcastMessage message, std::vector<std::uint64_t> receivers, SteadyTime now, Random &random);

    /// Queues the acknowledgement and the messages for the part of the tree below. Returns whether the content is new.
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
    using SeenKey = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;

    void forward(BroadcastMessage message, const std::vector<std::uint64_t> &receivers, SteadyTime now);
    bool remember(const BroadcastMessage &message, std::uint64_t part);

    std::uint64_t m_self;
    std::uint64_t m_number;
    std::vector<Outstanding> m_outstanding;
    std::vector<Delivery> m_deliveries;
    std::set<SeenKey> m_seen;
    std::deque<SeenKey> m_seenOrder;
};

} // namespace Cardamomhill::internal
