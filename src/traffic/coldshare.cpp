#include "traffic/coldshare.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// With more senders, a share of a usual limit would be only one or two calls. With fewer, a server would get no calls
/// while these few are down.
constexpr std::size_t MaxSenders = 4;
/// Fraction of the limit that is shared out. The rest covers hosts with an outdated list of hosts.
constexpr double UsedFraction = 0.75;
/// Far more calls than a host sends in a second.
constexpr double MaxCalls = 1e6;

} // namespace

ColdShare coldShareOf(double limit, std::size_t hosts)
{
    for (auto senders = std::min(hosts, MaxSenders); senders > 0; --senders) {
        const auto count = static_cast<double>(senders);
        const double calls = std::min({UsedFraction * limit / count, limit / (count + 1), MaxCalls});
        if (calls >= 1) {
            return {senders, static_cast<std::uint32_t>(calls)};
        }
    }
    return {};
}

} // namespace Cardamomhill
