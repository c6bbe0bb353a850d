// Guards against streams that go to a group with slow steps as often as to one with quick steps.

#include "traffic/groupselection.h"

#include "support/promptcalls.h"
#include "traffic/serverquery.h"
#include "traffic/servertable.h"

#include <doctest/doctest.h>

#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds Objective{400};
const ServiceId Service("chat");
constexpr std::uint32_t Ranks = 32;

GroupCandidate candidate(const std::string &group, Milliseconds step, double room = 100)
{
    return {GroupId(group), step, room, true};
}

std::map<std::string, int> selections(const std::vector<GroupCandidate> &candidates)
{
    Random random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
        ++counts[GroupSelection(Objective).select(candidates, random).value()];
    }
    return counts;
}

std::vector<DiscoveredServer> ranksOf(const std::string &group)
{
    std::vector<DiscoveredServer> ranks;
    for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
        DiscoveredServer server;
        server.id = BackendServerId(group + std::to_string(rank));
        server.service = Service;
        server.failureDomain = FailureDomainId("d" + std::to_string(rank % 3));
        server.slots = 8;
        server.groupMembership = GroupMembership{GroupId(group), 1, rank, Ranks, true};
        ranks.push_back(server);
    }
    return ranks;
}

ServerQuery query()
{
    return {Service, {}, StreamAdmission{Milliseconds(2000), 25, Milliseconds(400), Objective, {}}};
}

/// Records steps of a group until `now`.
void makeSteps(ServerTable &table, const std::string &group, Milliseconds step, SteadyTime now)
{
    constexpr int Steps = 12;
    for (int i = Steps; i >= 0; --i) {
        table.recordReceived(BackendServerId(group + "0"), now - i * step);
    }
}

/// Sends streams while none ends, and counts them by group.
std::map<char, int> streams(ServerTable &table, SteadyTime now, int count)
{
    Random random(1);
    std::map<char, int> counts;
    for (int i = 0; i < count; ++i) {
        const auto choice = table.choose(query(), now, random);
        if (choice.hasServer()) {
            ++counts[choice.server.value().front()];
            table.recordCallStarted(choice.server);
        }
    }
    return counts;
}

const SteadyTime Now{Seconds(100)};

ServerTable twoGroups(Milliseconds stepOfA, Milliseconds stepOfB, ServerTableOptions options = {})
{
    ServerTable table(options);
    table.apply({ranksOf("a"), {}});
    table.apply({ranksOf("b"), {}});
    makeSteps(table, "a", stepOfA, Now);
    makeSteps(table, "b", stepOfB, Now);
    return table;
}

} // namespace

TEST_CASE("a slow group gets the fewer streams the slower it is, and never none")
{
    const auto slow = selections({candidate("a", Milliseconds(600)), candidate("b", Milliseconds(200))});
    CHECK(slow.at("a") > 250);
    CHECK(slow.at("a") < 370);
    const auto slower = selections({candidate("a", Milliseconds(1000)), candidate("b", Milliseconds(200))});
    CHECK(slower.at("a") > 80);
    CHECK(slower.at("a") < 200);
}

TEST_CASE("a group without room gets no streams")
{
    const auto counts = selections({candidate("a", Milliseconds(600), 0), candidate("b", Milliseconds(200))});
    CHECK(counts.at("b") == 1000);
}

TEST_CASE("there is no selection between groups that are all within the objective, all slow, or unknown")
{
    CHECK(selections({candidate("a", Milliseconds(390)), candidate("b", Milliseconds(200))}).at("") == 1000);
    CHECK(selections({candidate("a", Milliseconds(600)), candidate("b", Milliseconds(500))}).at("") == 1000);
    // A group that has calls and makes no steps may have stopped.
    auto stopped = candidate("b", Milliseconds(0));
    CHECK(selections({candidate("a", Milliseconds(600)), stopped}).at("") == 1000);
    stopped.hasCalls = false;
    CHECK(selections({candidate("a", Milliseconds(600)), stopped}).at("b") > 500);
}

TEST_CASE("fewer new streams go to the group whose steps are slow")
{
    constexpr int Streams = 120;
    ServerTableOptions byLoad;
    byLoad.selectsGroups = false;
    auto before = twoGroups(Milliseconds(700), Milliseconds(200), byLoad);
    auto after = twoGroups(Milliseconds(700), Milliseconds(200));
    const auto slowBefore = streams(before, Now, Streams)['a'];
    const auto slowAfter = streams(after, Now, Streams)['a'];
    std::cout << "streams to the slow group: " << slowBefore << " of " << Streams << " by load alone, " << slowAfter
              << " with a selection between groups\n";
    CHECK(slowBefore > 2 * Streams / 5);
    CHECK(slowAfter < Streams / 3);
    CHECK(slowAfter > 0);
}

TEST_CASE("streams go to the slow group when the other one is full or closed")
{
    auto table = twoGroups(Milliseconds(700), Milliseconds(200));
    for (const auto &rank : ranksOf("b")) {
        for (int call = 0; call < 20; ++call) {
            table.recordCallStarted(rank.id);
        }
    }
    CHECK(streams(table, Now, 20)['a'] == 20);

    auto closed = twoGroups(Milliseconds(700), Milliseconds(200));
    closed.recordCallStarted(BackendServerId("b3"));
    closed.recordCallEnded(BackendServerId("b3"), AttemptEnd::OtherInstance, Now);
    CHECK(streams(closed, Now, 20)['a'] == 20);
}

TEST_CASE("a prompt held in the slow group does not bring more streams there")
{
    constexpr int Streams = 120;
    const auto reuse = promptCall({{"part", 3000}}, 100);
    auto table = twoGroups(Milliseconds(700), Milliseconds(200));
    const BackendServerId holder("a5");
    table.recordPromptStarted(holder, reuse, Now);
    table.recordCallStarted(holder);
    auto withPrompt = query();
    withPrompt.promptReuse = reuse;
    Random random(1);
    int slow = 0;
    int held = 0;
    for (int i = 0; i < Streams; ++i) {
        const auto choice = table.choose(withPrompt, Now, random);
        slow += choice.server.value().front() == 'a' ? 1 : 0;
        held += choice.reason == ChoiceReason::HoldsPrompt ? 1 : 0;
    }
    CHECK(held > 0);
    CHECK(slow < Streams / 3);
}

TEST_CASE("ranks that fail in the selected group do not keep streams from the other one")
{
    auto table = twoGroups(Milliseconds(700), Milliseconds(200));
    for (const auto &rank : ranksOf("b")) {
        for (int call = 0; call < 2; ++call) {
            table.recordCallStarted(rank.id);
            table.recordCallEnded(rank.id, AttemptEnd::Broken, Now);
        }
    }
    CHECK(streams(table, Now, 40)['a'] == 40);
}

TEST_CASE("a group without calls is not slow, however long ago its last step was")
{
    auto table = twoGroups(Milliseconds(200), Milliseconds(200));
    const auto later = Now + Milliseconds(600);
    for (int call = 0; call < 8; ++call) {
        table.recordCallStarted(BackendServerId("b0"));
    }
    table.recordReceived(BackendServerId("b0"), later - Milliseconds(200));
    table.recordReceived(BackendServerId("b0"), later);
    CHECK(table.currentStep(BackendServerId("a0"), later) > Objective);
    Random random(1);
    CHECK_FALSE(table.choose(query(), later, random).isGroupSelected);
}

TEST_CASE("with one group, quick steps or no objective, choices are as by load alone")
{
    const auto sequence = [](ServerTable table, const ServerQuery &query) {
        Random random(3);
        std::string chosen;
        for (int i = 0; i < 60; ++i) {
            const auto choice = table.choose(query, Now, random);
            chosen += choice.server.value() + " ";
            table.recordCallStarted(choice.server);
        }
        return chosen;
    };
    ServerTableOptions byLoad;
    byLoad.selectsGroups = false;
    auto withoutObjective = query();
    withoutObjective.admission->pauseObjective = Milliseconds(0);
    const Milliseconds slow(700);
    const Milliseconds quick(200);
    CHECK(sequence(twoGroups(quick, quick, byLoad), query()) == sequence(twoGroups(quick, quick), query()));
    CHECK(sequence(twoGroups(slow, quick, byLoad), withoutObjective)
          == sequence(twoGroups(slow, quick), withoutObjective));
    CHECK(sequence(twoGroups(slow, quick, byLoad), {Service, {}, {}})
          == sequence(twoGroups(slow, quick), {Service, {}, {}}));
    CHECK(sequence(twoGroups(slow, quick, byLoad), query()) != sequence(twoGroups(slow, quick), query()));
    ServerTable oneBefore(byLoad);
    ServerTable one;
    for (auto *table : {&oneBefore, &one}) {
        table->apply({ranksOf("a"), {}});
        makeSteps(*table, "a", slow, Now);
    }
    CHECK(sequence(oneBefore, query()) == sequence(one, query()));
}
