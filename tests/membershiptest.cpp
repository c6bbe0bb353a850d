#include "support/fleet.h"

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
    {"profiles", "chat"}, {"profiles", "batch"}, {"profiles", "voice"}, {ObjectStore::OrganisationKind, "tambor"}};

enum class Action : std::uint8_t {
    Write,
    WriteTwice,
    Crash,
    Restart,
    Pause,
    Cut,
    Heal,
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

std::vector<Event> anySchedule()
{
    const auto count = *rc::gen::inRange<std::size_t>(10, 30);
    const auto number = [](int limit) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); };
    const auto parts = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        count, rc::gen::tuple(number(static_cast<int>(Action::Count)), number(Domains * DomainSize), number(3000)));
    std::vector<Event> events;
    for (const auto &[action, target, wait] : parts) {
        events.push_back(Event{static_cast<Action>(action), static_cast<std::size_t>(target), Milliseconds(wait)});
    }
    return events;
}

// A change in force is held by three hosts, so it survives two of them; more failures at once lose it by design.
bool mayCrash(const Fleet &fleet, std::size_t target)
{
    const auto &member = fleet.members.at(target);
    return member.isAgent || (member.isReady() && fleet.readyHosts(member.domain) > Hosts - 2);
}

void crash(Fleet &fleet, std::size_t target)
{
    if (mayCrash(fleet, target)) {
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
        if (fleet.members.at(event.target).isRunning()) {
            fleet.pause(event.target, Seconds(30));
        }
        break;
    case Action::Cut:
    case Action::Heal:
        fleet.cutFromPlatform(domain, event.action == Action::Cut);
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

// Runs a schedule of failures and returns what is wrong, or nothing.
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
        fleet.cutFromPlatform(domain, false);
    }
    restartAll(fleet);
    fleet.run(Seconds(45));
    return fleet.violation().empty() ? fleet.divergence() : fleet.violation();
}

bool findsViolation(SeededFault fault, double loss, const char *expected)
{
    // Fixed schedules: the same verdict in every run, and no search for the smallest example.
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

TEST_CASE("configuration never steps back, is in force in time and ends equal everywhere under failures")
{
    CHECK(rc::check("schedules of failures", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto violation = runSchedule(anySchedule(), seed, SeededFault::None, 0.05);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }));
}

TEST_CASE("the checker of configuration finds seeded faults")
{
    CHECK(findsViolation(SeededFault::MergeByArrival, 0.05, "steps back"));
    CHECK(findsViolation(SeededFault::ResyncReplaces, 0.05, "steps back"));
    CHECK(findsViolation(SeededFault::NoRepair, 0.4, "lacks version"));
}

} // namespace Cardamomhill
