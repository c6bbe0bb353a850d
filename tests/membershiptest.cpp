#include "support/fleet.h"

#include <algorithm>
#include <numeric>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

using Testing::Fleet;
using Testing::SeededFault;

constexpr std::size_t Hosts = 4;
constexpr std::size_t Agents = 2;
constexpr std::size_t DomainSize = Hosts + Agents;
constexpr std::size_t Domains = 2;

const std::vector<ObjectKey> Keys{
    {"profiles", "chat"}, {"profiles", "batch"}, {"profiles", "voice"}, {LocalObjectStore::OrganisationKind, "tambor"}};

enum class Action : std::uint8_t {
    Write,
    WriteTwice,
    Crash,
    Restart,
    Pause,
    Disconnect,
    Reconnect,
    PlatformDown,
    PlatformUp,
    LoseHistory,
    CrashTwice,
    Count,
};

struct Event {
    Action action = Action::Write;
    std::size_t target = 0;
    Milliseconds wait{0};
};

std::vector<Event> arbitrarySchedule()
{
    const auto count = *rc::gen::inRange<std::size_t>(10, 30);
    const auto number = [](int limit) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); };
    const auto parts = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        count, rc::gen::tuple(number(static_cast<int>(Action::Count)), number(Domains * DomainSize), number(3000)));
    std::vector<Event> events;
    events.reserve(parts.size());
    for (const auto &[action, target, wait] : parts) {
        events.push_back(Event{static_cast<Action>(action), static_cast<std::size_t>(target), Milliseconds(wait)});
    }
    return events;
}

// A change in force is stored by three hosts, so it survives two failures; more at once lose it by design.
bool mayFail(const Fleet &fleet, std::size_t target)
{
    const auto &member = fleet.members.at(target);
    if (member.isAgent) {
        return member.isRunning();
    }
    const bool isAvailable = member.isReady() && !fleet.isPaused(member);
    return isAvailable && fleet.readyHosts(member.domain) > Hosts - 2;
}

void crash(Fleet &fleet, std::size_t target)
{
    if (mayFail(fleet, target)) {
        fleet.crash(target);
    }
}

void restartAll(Fleet &fleet)
{
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        if (!fleet.members.at(index).isRunning()) {
            fleet.start(index);
        }
    }
}

void perform(Fleet &fleet, const Event &event)
{
    const auto domain = event.target % Domains;
    switch (event.action) {
    case Action::WriteTwice:
        fleet.write(Keys.at(event.target % Keys.size()));
        [[fallthrough]];
    case Action::Write:
        fleet.write(Keys.at(event.target % Keys.size()));
        break;
    case Action::CrashTwice:
        crash(fleet, (event.target + 1) % fleet.members.size());
        [[fallthrough]];
    case Action::Crash:
        crash(fleet, event.target);
        break;
    case Action::Restart:
        restartAll(fleet);
        break;
    case Action::Pause:
        if (mayFail(fleet, event.target)) {
            fleet.pause(event.target, Seconds(30));
        }
        break;
    case Action::Disconnect:
    case Action::Reconnect:
        fleet.setPlatformDisconnected(domain, event.action == Action::Disconnect);
        break;
    case Action::PlatformDown:
    case Action::PlatformUp:
        fleet.setPlatformDown(event.action == Action::PlatformDown);
        break;
    case Action::LoseHistory:
        fleet.platform.loseHistory(event.target % 4);
        break;
    case Action::Count:
        break;
    }
}

Fleet startedFleet(std::uint64_t seed)
{
    Fleet fleet(Domains, Hosts, Agents, seed);
    fleet.faults.loss = 0.05;
    fleet.faults.duplication = 0.05;
    fleet.faults.delay = Milliseconds(300);
    for (const auto &key : Keys) {
        fleet.write(key);
    }
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        fleet.start(index);
    }
    fleet.run(Seconds(10));
    return fleet;
}

// Runs a schedule of failures and returns the first violation, or an empty string.
std::string runSchedule(const std::vector<Event> &events, std::uint64_t seed, SeededFault fault, double loss)
{
    auto fleet = startedFleet(seed);
    fleet.faults.loss = loss;
    fleet.seededFault = fault;
    for (const auto &event : events) {
        perform(fleet, event);
        fleet.run(event.wait);
    }
    fleet.setPlatformDown(false);
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        fleet.setPlatformDisconnected(domain, false);
    }
    restartAll(fleet);
    fleet.run(Seconds(45));
    return fleet.violation().empty() ? fleet.divergence() : fleet.violation();
}

bool findsViolation(SeededFault fault, double loss, const char *expected)
{
    // Fixed schedules give the same result in every run and are not shrunk to the smallest example.
    Random random(20261204);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        std::vector<Event> events;
        for (std::size_t count = 0; count < 20; ++count) {
            events.push_back(Event{static_cast<Action>(random() % static_cast<std::size_t>(Action::Count)),
                                   random() % (Domains * DomainSize),
                                   Milliseconds(random() % 3000)});
        }
        const auto violation = runSchedule(events, seed, fault, loss);
        if (violation.find(expected) != std::string::npos) {
            MESSAGE("schedule " << seed << ": " << violation);
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("configuration never reverts, is in force within its deadline and converges in all processes under failures")
{
    CHECK(rc::check("schedules of failures", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto violation = runSchedule(arbitrarySchedule(), seed, SeededFault::None, 0.05);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }));
}

TEST_CASE("leaving reaches all entry hosts within 3 s although the host list is incomplete, and is final")
{
    CHECK(rc::check("leaving notices", [] {
        auto fleet = startedFleet(*rc::gen::arbitrary<std::uint32_t>());
        const auto number = [](int limit) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); };
        // Entry hosts that are replaced, paused or dead need not know that the server leaves; all others must.
        const auto failing = static_cast<std::size_t>(*number(Hosts));
        fleet.crash(failing);
        fleet.run(Milliseconds(*number(3000)));
        fleet.pause((failing + 1) % Hosts, Seconds(30));
        fleet.run(Milliseconds(*number(3000)));
        auto &leaving = fleet.members.at(Hosts);
        const BackendServerId server(leaving.name);
        leaving.agent->leave();
        const auto incarnation = leaving.agent->row().incarnation;
        fleet.run(Seconds(3));
        for (std::size_t index = 0; index < Hosts; ++index) {
            const auto &member = fleet.members.at(index);
            if (member.isReady() && !fleet.isPaused(member)) {
                RC_ASSERT(member.node->members().server(server)->state == MemberState::Leaving);
            }
        }
        fleet.start(failing);
        fleet.run(Seconds(40));
        for (std::size_t index = 0; index < Hosts; ++index) {
            const auto known = fleet.members.at(index).node->members().server(server);
            RC_ASSERT(known.has_value() && known->incarnation >= incarnation);
            RC_ASSERT(known->state == MemberState::Leaving);
        }
    }));
}

TEST_CASE("a host that was paused for 30 s refutes its death, and one that restarts after leaving is live again")
{
    auto fleet = startedFleet(5);
    const auto stateOnPeer = [&] {
        for (const auto &row : fleet.members.at(0).node->members().hosts()) {
            if (row.name == fleet.members.at(1).name) {
                return static_cast<MemberState>(row.state);
            }
        }
        return MemberState::Dead;
    };
    for (int repetition = 0; repetition < 2; ++repetition) {
        fleet.pause(1, Seconds(30));
        fleet.run(Seconds(20));
        CHECK(stateOnPeer() == MemberState::Dead);
        fleet.run(Seconds(15));
        CHECK(stateOnPeer() == MemberState::Live);
    }
    fleet.members.at(1).node->leave(fleet.now, fleet.random);
    fleet.run(Seconds(3));
    CHECK(stateOnPeer() == MemberState::Leaving);
    fleet.crash(1);
    fleet.run(Seconds(3));
    fleet.start(1);
    fleet.run(Seconds(5));
    CHECK(stateOnPeer() == MemberState::Live);
}

TEST_CASE("a change does not wait for hosts that have left, when fewer than two others are live")
{
    auto fleet = startedFleet(7);
    for (const std::size_t index : {1U, 2U}) {
        fleet.members.at(index).node->leave(fleet.now, fleet.random);
        fleet.run(Seconds(3));
        fleet.crash(index);
    }
    fleet.run(Seconds(6));
    const auto version = fleet.write(Keys.front());
    fleet.run(Seconds(5));
    CHECK(fleet.members.at(0).versionsInForce.at(Keys.front()) == version);
    CHECK(fleet.members.at(3).versionsInForce.at(Keys.front()) == version);
}

TEST_CASE("the first two live hosts watch the platform, and the next two as well while those cannot reach it")
{
    auto fleet = startedFleet(6);
    const auto followers = [&] {
        std::vector<std::size_t> chosen;
        for (std::size_t index = 0; index < Hosts; ++index) {
            if (fleet.members.at(index).node->shouldWatchPlatform(fleet.now)) {
                chosen.push_back(index);
            }
        }
        return chosen;
    };
    const auto first = followers();
    CHECK(first.size() == RelaySelection::RelayCount);
    for (const auto index : first) {
        fleet.members.at(index).node->setPlatformReachable(false, fleet.now);
    }
    CHECK(RelaySelection::relays(FailureDomainId("domain-0"), {}).empty());
    fleet.setPlatformDisconnected(0, true);
    fleet.run(Seconds(8));
    CHECK(followers().size() == 2 * RelaySelection::RelayCount);
    fleet.setPlatformDisconnected(0, false);
    fleet.run(Seconds(8));
    CHECK(followers() == first);
}

TEST_CASE("a fan-out tree contains each member once and has branches of equal size")
{
    for (const std::size_t count : {0U, 1U, 8U, 9U, 78U, 300U}) {
        std::vector<std::uint64_t> members(count);
        std::iota(members.begin(), members.end(), 1);
        std::vector<std::uint64_t> reached;
        std::size_t largest = 0;
        for (const auto &branch : FanOutTree::split(members)) {
            reached.push_back(branch.child);
            reached.insert(reached.end(), branch.subtree.begin(), branch.subtree.end());
            largest = std::max(largest, branch.subtree.size());
        }
        std::sort(reached.begin(), reached.end());
        CHECK(reached == members);
        CHECK(largest <= count / FanOutTree::FanOut);
    }
}

TEST_CASE("malformed messages are rejected with a typed error and change nothing")
{
    CHECK(rc::check("random and truncated bytes", [] {
        auto bytes = encode(GossipMessage());
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        RC_ASSERT(!decodeMembershipMessage(bytes).has_value());
        const auto noise = *rc::gen::arbitrary<std::string>();
        GossipNode node(HostIdentity{HostId("a"), FailureDomainId("d"), ControlAddress("192.0.2.1:1"), WallTime()});
        Random random(1);
        if (!node.onMessage(ControlAddress("192.0.2.2:1"), noise, SteadyTime(), random)) {
            RC_ASSERT(node.members().hostCount() == 1U);
        }
    }));
    Random random(1);
    GossipNode node(HostIdentity{HostId("a"), FailureDomainId("d"), ControlAddress("192.0.2.1:1"), WallTime()});
    const auto foreign = node.onMessage(ControlAddress("192.0.2.2:1"), encode(GossipMessage()), SteadyTime(), random);
    CHECK(foreign.error().code == MembershipErrorCode::WrongDomain);
}

TEST_CASE("the configuration checker finds seeded faults")
{
    CHECK(findsViolation(SeededFault::ApplyByArrival, 0.05, "reverts from"));
    CHECK(findsViolation(SeededFault::ApplyStaleLists, 0.05, "reverts from"));
    CHECK(findsViolation(SeededFault::NoRepair, 0.4, "lacks version"));
}

} // namespace Cardamomhill
