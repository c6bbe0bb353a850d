#pragma once

#include "membership/membership.h"
#include "objectstore/objectstoremodule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill::Testing
{

constexpr Milliseconds Tick(100);

/// Object API with one revision counter, a bounded history and outages.
class FakePlatform
{
public:
    std::uint64_t write(const ObjectKey &key, const std::string &value);
    FollowAnswer watch(std::uint64_t since);
    FollowAnswer list(const std::string &kind);

    /// Forgets the history, and serves the next lists from a replica that lacks the last writes.
    void loseHistory(std::size_t staleWrites);

    bool isDown = false;
    std::uint64_t revision = 0;
    std::uint64_t calls = 0;
    std::map<ObjectKey, PlatformObject> objects;

private:
    std::vector<PlatformObject> m_log;
    std::size_t m_watchesToRefuse = 0;
    std::size_t m_staleLists = 0;
    std::size_t m_staleWrites = 0;
};

/// Faults that the checker must find. They change the fakes around the code under test, never that code.
enum class SeededFault : std::uint8_t { None, MergeByArrival, ResyncReplaces, NoRepair };

/// One process of the fleet with what it has in force. Restarting replaces the process but keeps this record.
struct Member {
    std::string name;
    std::size_t domain = 0;
    bool isAgent = false;
    NodeAddress address;
    std::unique_ptr<GossipNode> node;
    std::unique_ptr<AgentReporter> agent;
    std::unique_ptr<WatchFollower> follower;
    std::optional<FollowRequest> waiting;
    SteadyTime waitingSince;
    std::map<ObjectKey, std::uint64_t> inForce;
    std::map<ObjectKey, std::uint64_t> everInForce;
    SteadyTime pausedUntil;
    SteadyTime undisturbedSince;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    bool isRunning() const;
    bool isReady() const;
};

/// Entry hosts, agents and a platform with messages passed in memory. Time advances by ticks.
class Fleet
{
public:
    struct Faults {
        double loss = 0;
        double duplication = 0;
        Milliseconds delay{20};
    };

    Fleet(std::size_t domains, std::size_t hosts, std::size_t agents, std::uint64_t seed);

    /// Advances by one tick.
    void step();
    void run(Milliseconds time);

    void start(std::size_t index);
    void crash(std::size_t index);
    void pause(std::size_t index, Milliseconds time);
    void cutFromPlatform(std::size_t domain, bool cut);
    void setPlatformDown(bool down);
    std::uint64_t write(const ObjectKey &key);

    bool isPaused(const Member &member) const;
    /// Entry hosts that are ready and not paused.
    std::size_t readyHosts(std::size_t domain) const;
    /// What is wrong, or nothing: steps back, and writes that are not in force in time.
    const std::string &violation() const;
    /// Compares all copies after the faults have ended.
    std::string divergence() const;
    void report(const std::string &violation);

    Faults faults;
    SeededFault seededFault = SeededFault::None;
    FakePlatform platform;
    std::vector<Member> members;
    SteadyTime now{Seconds(1000)};
    Random random;
    /// Called with each message that is delivered.
    std::function<void(const Member &, const std::string &)> observer;
    bool checksDeadlines = true;

private:
    struct Flight {
        NodeAddress from;
        NodeAddress to;
        std::string bytes;
    };
    struct Accepted {
        ObjectKey key;
        std::uint64_t version = 0;
        SteadyTime at;
    };

    bool chance(double probability);
    void disturb(std::size_t domain);
    void deliver(const Flight &flight);
    void collect(Member &member);
    void launch(const Member &member, const std::vector<OutgoingMessage> &messages);
    void apply(Member &member, const ObjectKey &key, std::uint64_t version);
    void checkRestart(Member &member, bool wasReady);
    void follow(Member &member);
    void answer(Member &member);
    void checkDeadlines();
    void checkDeadline(const Member &member);

    std::multimap<SteadyTime, Flight> m_flights;
    std::map<NodeAddress, std::size_t> m_addresses;
    std::vector<Accepted> m_accepted;
    std::size_t m_nextDue = 0;
    std::map<ObjectKey, std::uint64_t> m_due;
    std::vector<bool> m_cut;
    std::vector<std::vector<NodeAddress>> m_seeds;
    std::string m_violation;
};

} // namespace Cardamomhill::Testing
