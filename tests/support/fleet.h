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

/// In-memory object API of the platform with one revision counter, a history that can be lost, and outages.
class FakePlatform
{
public:
    std::uint64_t write(const ObjectKey &key, const std::string &value);
    FollowAnswer watch(std::uint64_t since);
    FollowAnswer list(const std::string &kind);

    /// Answers the next watches with a lost history, and the next lists from a replica that lacks the last writes.
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

/// Faults that the checker must find. They are injected into the test doubles, never into the code under test.
enum class SeededFault : std::uint8_t { None, ApplyByArrival, ApplyStaleLists, NoRepair };

/// A process of the fleet and the versions that it has in force. A restart replaces the process but keeps this record.
struct Member {
    std::string name;
    std::size_t domain = 0;
    bool isAgent = false;
    ControlAddress address;
    std::unique_ptr<GossipNode> node;
    std::unique_ptr<AgentReporter> agent;
    std::unique_ptr<WatchScheduler> watchScheduler;
    std::optional<FollowRequest> pendingRequest;
    SteadyTime pendingSince;
    std::map<ObjectKey, std::uint64_t> versionsInForce;
    /// Highest version that was in force before or after restarts.
    std::map<ObjectKey, std::uint64_t> everInForce;
    SteadyTime pausedUntil;
    /// When the process started, resumed after a pause, or a failure in its domain began or ended.
    SteadyTime lastDisruption;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    bool isRunning() const;
    bool isReady() const;
};

/// Entry hosts, agents and a platform that exchange messages in memory. Time advances by ticks.
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
    void tick();
    void run(Milliseconds time);

    void start(std::size_t index);
    void crash(std::size_t index);
    void pause(std::size_t index, Milliseconds time);
    void setPlatformDisconnected(std::size_t domain, bool isDisconnected);
    void setPlatformDown(bool down);
    std::uint64_t write(const ObjectKey &key);

    bool isPaused(const Member &member) const;
    /// Entry hosts that are ready and not paused.
    std::size_t readyHosts(std::size_t domain) const;
    /// The first violation, or an empty string: a version that reverts, or a write that is not in force in time.
    const std::string &violation() const;
    /// A difference between the processes and the platform after the faults have ended, or an empty string.
    std::string divergence() const;
    void reportViolation(const std::string &violation);

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
    struct InFlightMessage {
        ControlAddress from;
        ControlAddress to;
        std::string bytes;
    };
    struct AcceptedWrite {
        ObjectKey key;
        std::uint64_t version = 0;
        SteadyTime at;
    };

    bool chance(double probability);
    void recordDisruption(std::size_t domain);
    void deliver(const InFlightMessage &inFlight);
    void takeOutput(Member &member);
    void send(const Member &member, const std::vector<OutgoingMessage> &messages);
    void apply(Member &member, const ObjectKey &key, std::uint64_t version);
    void checkRestart(Member &member, bool wasReady);
    void pollPlatform(Member &member);
    void answerPlatformRequest(Member &member);
    void checkDeadlines();
    void checkDeadline(const Member &member);

    std::multimap<SteadyTime, InFlightMessage> m_inFlightMessages;
    std::map<ControlAddress, std::size_t> m_addresses;
    std::vector<AcceptedWrite> m_acceptedWrites;
    std::size_t m_nextDueWrite = 0;
    std::map<ObjectKey, std::uint64_t> m_dueVersions;
    std::vector<bool> m_disconnected;
    std::vector<std::vector<ControlAddress>> m_seeds;
    std::string m_violation;
};

} // namespace Cardamomhill::Testing
