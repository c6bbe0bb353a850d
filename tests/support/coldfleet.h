#pragma once

#include "core/random.h"
#include "traffic/coldserverlimit.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Hosts that do not hear each other and send as many calls as each may to a few cold servers, in simulated time.
class ColdFleet
{
public:
    struct Options {
        std::size_t hosts = 1;
        std::size_t servers = 3;
        double rate = 14;
        double overshoot = 1.5;
        double slack = 5;
        /// Half of the hosts lack one of the others in their lists, most of them the same.
        bool hasOutdatedLists = false;
        /// Hosts restart, one by one and all at the same time.
        bool hasRestarts = false;
        /// Hosts stand still, also between the beginning of an attempt and its sending.
        bool hasFreezes = false;
        /// Longest time for a connection.
        Milliseconds connectTime{0};
    };

    ColdFleet(Options options, std::uint64_t seed);

    void play(Milliseconds time);

    double limit() const;
    /// The most calls that any server got in a second: sent and received in it, or received in it.
    std::size_t mostInOneSecond() const;
    /// The fewest calls a second that any server got after the first two seconds.
    double leastPerSecond() const;

private:
    struct Call {
        std::size_t server = 0;
        SteadyTime startedAt{};
        SteadyTime at{};
    };
    struct Arrival {
        SteadyTime sentAt{};
        SteadyTime receivedAt{};
    };
    struct Host {
        ColdServerLimit limit;
        std::vector<Call> connecting;
        SteadyTime frozenUntil{};
        std::optional<HostId> missing;
    };

    static HostId hostId(std::size_t host);
    static BackendServerId serverId(std::size_t server);
    void start(std::size_t host);
    void disturb();
    void step(Host &host);
    Milliseconds random(Milliseconds max);
    bool happens(int oneIn);

    Options m_options;
    Random m_random;
    SteadyTime m_startedAt{Seconds(100)};
    SteadyTime m_now = m_startedAt;
    std::vector<Host> m_hosts;
    std::vector<std::vector<Arrival>> m_arrivals;
};

} // namespace Cardamomhill
