#include "traffic/servertable.h"
#include "traffic/serverquery.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const ServiceId Service("s");

DiscoveredServer server(const std::string &id, const std::string &domain = "d1", const std::string &group = "")
{
    DiscoveredServer result;
    result.id = BackendServerId(id);
    result.service = Service;
    result.failureDomain = FailureDomainId(domain);
    result.slots = 4;
    if (!group.empty()) {
        result.groupMembership = GroupMembership{GroupId(group), 1, 0, 2, true};
    }
    return result;
}

/// Counts how often each server is chosen while no call ends.
std::map<std::string, int> choices(ServerTable &table, int calls, std::uint64_t seed = 1)
{
    Random random(seed);
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
        const auto choice = table.choose({Service, {}, {}}, Start, random);
        if (choice.hasServer()) {
            table.recordCallStarted(choice.server);
            ++counts[choice.server.value()];
        }
    }
    return counts;
}

} // namespace

TEST_CASE("calls are distributed evenly over equal servers, and calls of other hosts are counted")
{
    ServerTable table;
    table.apply({{server("a"), server("b"), server("c")}, {}});
    auto counts = choices(table, 12);
    for (const auto *id : {"a", "b", "c"}) {
        CHECK(counts[id] >= 3);
        CHECK(counts[id] <= 5);
    }
    ServerTable other;
    other.apply({{server("a"), server("b")}, {}});
    other.setPeerLoads({{serverKey(BackendServerId("a")), 8}});
    CHECK(choices(other, 3)["a"] == 0);
}

TEST_CASE("no server is chosen when the slots and queues of all servers are full")
{
    ServerTable table;
    table.apply({{server("a", "d1", "g")}, {}});
    // 4 slots with 0.6 waiting calls each.
    CHECK(choices(table, 20)["a"] == 7);
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).reason == ChoiceReason::AllFull);
}

TEST_CASE("a failing server is avoided until its failures have decayed")
{
    ServerTable table;
    table.apply({{server("a"), server("b")}, {}});
    for (int i = 0; i < 2; ++i) {
        table.recordCallStarted(BackendServerId("a"));
        table.recordCallEnded(BackendServerId("a"), AttemptEnd::Broken, Start);
    }
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).server == BackendServerId("b"));
    const auto last = table.choose({Service, {BackendServerId("b")}, {}}, Start, random);
    CHECK(last.server == BackendServerId("a"));
    CHECK(last.reason == ChoiceReason::LastResort);
    CHECK(table.choose({Service, {BackendServerId("b")}, {}}, Start + Seconds(20), random).reason
          == ChoiceReason::LeastLoaded);
}

TEST_CASE("a server whose address belongs to another instance gets no calls until it registers again")
{
    ServerTable table;
    auto replaced = server("a");
    replaced.address = "10.0.0.1:80";
    replaced.startedAt = 7;
    table.apply({{replaced}, {}});
    table.recordCallStarted(replaced.id);
    table.recordCallEnded(replaced.id, AttemptEnd::OtherInstance, Start);
    Random random(1);
    CHECK_FALSE(table.isAvailable(replaced.id));
    CHECK_FALSE(table.choose({Service, {}, {}}, Start + Seconds(60), random).hasServer());

    // A change of the slots, or of anything but start time and address, does not make it a new instance.
    replaced.slots = 5;
    table.apply({{replaced}, {}});
    CHECK_FALSE(table.isAvailable(replaced.id));
    replaced.startedAt = 8;
    table.apply({{replaced}, {}});
    CHECK(table.isAvailable(replaced.id));
}

TEST_CASE("a group with a rank replaced by another instance gets no calls until it is formed again")
{
    ServerTable table;
    auto replaced = server("a", "d1", "g");
    auto other = server("b", "d1", "g");
    table.apply({{replaced, other}, {}});
    table.recordCallStarted(replaced.id);
    table.recordCallEnded(replaced.id, AttemptEnd::OtherInstance, Start);
    CHECK_FALSE(table.isAvailable(other.id));
    CHECK_FALSE(table.canServe(Service));
    other.groupMembership->epoch = 2;
    table.apply({{other}, {}});
    CHECK(table.isAvailable(other.id));
    CHECK_FALSE(table.isAvailable(replaced.id));
}

TEST_CASE("a slow rank gets no calls while another server can take them")
{
    ServerTable table;
    table.apply({{server("a"), server("b")}, {}});
    table.setSlowdownFactors({{serverKey(BackendServerId("a")), 5.0F}});
    CHECK(choices(table, 6)["a"] == 0);
}

TEST_CASE("servers that are shutting down, in closed groups or in unreachable groups get no calls")
{
    ServerTable table;
    auto leaving = server("a");
    leaving.isLeaving = true;
    auto closed = server("b", "d1", "g1");
    closed.groupMembership->isOpen = false;
    table.apply({{leaving, closed, server("c", "d1", "g2"), server("d", "d2", "g2")}, {}});
    table.setUnreachable({FailureDomainId("d2")}, Start);
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).reason == ChoiceReason::GroupsClosed);
    CHECK_FALSE(table.canServe(Service));
    CHECK_FALSE(table.isAvailable(BackendServerId("c")));
    table.setUnreachable({}, Start);
    CHECK(table.canServe(Service));
    CHECK(choices(table, 4).size() == 2);
}

TEST_CASE("a removed server is kept until its last call has ended")
{
    ServerTable table;
    table.apply({{server("a")}, {}});
    table.recordCallStarted(BackendServerId("a"));
    table.apply({{}, {BackendServerId("a")}});
    CHECK(table.server(BackendServerId("a")) == nullptr);
    CHECK(table.hasServers());
    table.recordCallEnded(BackendServerId("a"), AttemptEnd::Delivered, Start);
    CHECK_FALSE(table.hasServers());
}

TEST_CASE("data from one rank shows that its whole group is working")
{
    ServerTable table;
    table.apply({{server("a", "d1", "g"), server("b", "d1", "g"), server("c")}, {}});
    table.recordReceived(BackendServerId("a"), Start);
    CHECK(table.lastReceivedAt(BackendServerId("b")) == Start);
    CHECK(table.lastReceivedAt(BackendServerId("c")) == SteadyTime());
}

TEST_CASE("hosts that know the same loads do not all choose the same server")
{
    // 24 hosts choose at the same time, all with the same known loads.
    ServerTable table;
    std::vector<DiscoveredServer> servers;
    ServerLoads loads;
    constexpr int Servers = 16;
    for (int i = 0; i < Servers; ++i) {
        auto one = server("s" + std::to_string(i));
        one.slots = 12;
        servers.push_back(one);
        loads[serverKey(one.id)] = static_cast<std::uint32_t>(5 + i % 4);
    }
    table.apply({servers, {}});
    table.setPeerLoads(loads);
    constexpr int Hosts = 24;
    constexpr int Rounds = 50;
    std::size_t chosen = 0;
    Random random(1);
    for (int round = 0; round < Rounds; ++round) {
        std::set<std::string> distinct;
        for (int i = 0; i < Hosts; ++i) {
            distinct.insert(table.choose({Service, {}, {}}, Start, random).server.value());
        }
        chosen += distinct.size();
    }
    // Calls go to more than the four servers with the lowest known loads.
    CHECK(chosen >= Rounds * std::size_t{5});
}

TEST_CASE("a group that was formed takes calls before its registrations show it, and none if it breaks again")
{
    ServerTable table;
    auto a = server("a", "d1", "g");
    auto b = server("b", "d2", "g");
    a.groupMembership->isOpen = false;
    b.groupMembership->isOpen = false;
    table.apply({{a, b}, {}});
    CHECK_FALSE(table.canServe(Service));
    table.recordGroupOpened(GroupId("g"), 2);
    CHECK(table.isAvailable(a.id));
    CHECK(table.isAvailable(b.id));
    // A repetition of an older notice changes nothing.
    table.recordGroupOpened(GroupId("g"), 1);
    CHECK(table.isAvailable(a.id));
    a.groupMembership->epoch = 2;
    table.apply({{a}, {}});
    CHECK_FALSE(table.isAvailable(a.id));
}

TEST_CASE("a closed group is being formed only for a while after its failure domains are all back")
{
    const auto formingTime = ServerTableOptions().groupFormingTime;
    ServerTable table;
    auto a = server("a", "d1", "g");
    a.groupMembership->isOpen = false;
    table.apply({{a, server("b", "d2", "h")}, {}});
    table.setUnreachable({FailureDomainId("d2"), FailureDomainId("d3")}, Start);
    CHECK_FALSE(table.isForming(Service, Start));
    table.setUnreachable({FailureDomainId("d2")}, Start + Seconds(1));
    CHECK_FALSE(table.isForming(Service, Start + Seconds(1)));
    table.apply({{}, {BackendServerId("b")}});
    table.setUnreachable({}, Start + Seconds(2));
    CHECK(table.isForming(Service, Start + Seconds(2)));
    CHECK_FALSE(table.isForming(Service, Start + Seconds(2) + formingTime));
    table.recordGroupOpened(GroupId("g"), 2);
    CHECK_FALSE(table.isForming(Service, Start + Seconds(2)));
}

TEST_CASE("a server that states that it is leaving gets no calls from then on, whatever is registered")
{
    ServerTable table;
    auto leaving = server("a");
    leaving.address = "10.0.0.1:80";
    leaving.startedAt = 7;
    const auto process = processOf(leaving);
    table.apply({{leaving}, {}});
    CHECK(table.recordLeaving(process, Start));
    CHECK_FALSE(table.recordLeaving(process, Start));
    const auto takesCalls = [&table](SteadyTime now) {
        Random random(1);
        return table.choose({Service, {}, {}}, now, random).hasServer();
    };
    CHECK_FALSE(takesCalls(Start));
    CHECK_FALSE(table.canServe(Service));
    CHECK_FALSE(table.maySend(process, Start));
    CHECK_FALSE(table.isStaying(process));
    // Its streams go on.
    CHECK(table.isAvailable(leaving.id));

    SUBCASE("a changed, removed and repeated registration does not bring it back")
    {
        leaving.slots = 5;
        table.apply({{leaving}, {}});
        CHECK_FALSE(takesCalls(Start + Seconds(1)));
        table.apply({{}, {leaving.id}});
        table.apply({{leaving}, {}});
        CHECK_FALSE(takesCalls(Start + Seconds(60)));
        leaving.isLeaving = true;
        table.apply({{leaving}, {}});
        leaving.isLeaving = false;
        table.apply({{leaving}, {}});
        CHECK_FALSE(takesCalls(Start + Seconds(600)));
    }
    SUBCASE("nor does an old copy of the registration of an earlier process")
    {
        leaving.startedAt = 6;
        leaving.address = "10.0.0.2:80";
        table.apply({{leaving}, {}});
        CHECK_FALSE(takesCalls(Start));
        CHECK_FALSE(table.canServe(Service));
    }
    SUBCASE("a new process with its id takes calls, also after a late answer of the earlier one")
    {
        leaving.startedAt = 8;
        table.apply({{leaving}, {}});
        table.recordLeaving(process, Start);
        CHECK(takesCalls(Start));
        CHECK(table.recordLeaving(processOf(leaving), Start));
        CHECK_FALSE(table.recordLeaving(process, Start));
        CHECK_FALSE(takesCalls(Start));
    }
    SUBCASE("so does one with another address")
    {
        leaving.address = "10.0.0.1:81";
        table.apply({{leaving}, {}});
        CHECK(takesCalls(Start));
        CHECK(table.canServe(Service));
    }
}

TEST_CASE("a late answer of an earlier process takes no calls from the process that now has its id")
{
    ServerTable table;
    auto current = server("a");
    current.startedAt = 7;
    const auto earlier = processOf(current);
    current.startedAt = 8;
    table.apply({{current}, {}});
    table.recordLeaving(earlier, Start);
    CHECK(table.canServe(Service));
    CHECK(choices(table, 1)["a"] == 1);
}

TEST_CASE("a server that wants no calls for a while gets none until then, and a later statement only extends that")
{
    ServerTable table;
    auto held = server("a");
    held.startedAt = 7;
    const auto process = processOf(held);
    table.apply({{held, server("b")}, {}});
    const auto isChosen = [&table](SteadyTime now) {
        Random random(1);
        return table.choose({Service, {BackendServerId("b")}, {}}, now, random).hasServer();
    };
    CHECK(table.recordHold(process, Seconds(2), Start));
    CHECK_FALSE(isChosen(Start));
    CHECK_FALSE(isChosen(Start + Milliseconds(1999)));
    CHECK_FALSE(table.maySend(process, Start + Milliseconds(1999)));
    CHECK(isChosen(Start + Seconds(2)));
    CHECK(table.maySend(process, Start + Seconds(2)));
    CHECK(choices(table, 4)["a"] == 0);
    CHECK(table.canServe(Service));
    CHECK(table.isAvailable(held.id));

    SUBCASE("a shorter time changes nothing and a longer one extends it")
    {
        CHECK_FALSE(table.recordHold(process, Milliseconds(100), Start + Seconds(1)));
        CHECK_FALSE(table.recordHold(process, Milliseconds(0), Start + Seconds(1)));
        CHECK_FALSE(isChosen(Start + Milliseconds(1999)));
        CHECK_FALSE(table.recordHold(process, Seconds(2), Start + Seconds(1)));
        CHECK_FALSE(isChosen(Start + Milliseconds(2999)));
        CHECK(isChosen(Start + Seconds(3)));
    }
    SUBCASE("a huge time is limited")
    {
        table.recordHold(process, Seconds(86'400), Start);
        CHECK_FALSE(isChosen(Start + Seconds(59)));
        CHECK(isChosen(Start + Seconds(60)));
    }
    SUBCASE("a repeated registration of the process changes nothing, a new process takes calls")
    {
        table.apply({{}, {held.id}});
        table.apply({{held}, {}});
        CHECK_FALSE(isChosen(Start));
        held.startedAt = 8;
        table.apply({{held}, {}});
        CHECK(isChosen(Start));
        CHECK(table.maySend(processOf(held), Start));
    }
    SUBCASE("a hold does not hide that the server is leaving")
    {
        CHECK(table.recordLeaving(process, Start));
        CHECK_FALSE(isChosen(Start + Seconds(60)));
    }
}

TEST_CASE("when all servers that could take a call are held, the reason says so and the end of the first hold is known")
{
    ServerTable table;
    const auto a = server("a");
    const auto b = server("b");
    auto leaving = server("c");
    leaving.isLeaving = true;
    table.apply({{a, b, leaving, server("d", "d2")}, {}});
    table.setUnreachable({FailureDomainId("d2")}, Start);
    CHECK_FALSE(table.heldUntil(Service, Start).has_value());
    table.recordHold(processOf(a), Seconds(3), Start);
    CHECK_FALSE(table.heldUntil(Service, Start).has_value());
    table.recordHold(processOf(b), Seconds(2), Start);
    CHECK(table.heldUntil(Service, Start) == Start + Seconds(2));
    CHECK_FALSE(table.heldUntil(Service, Start + Seconds(2)).has_value());
    CHECK_FALSE(table.heldUntil(ServiceId("none"), Start).has_value());
    Random random(1);
    const auto choice = table.choose({Service, {}, {}}, Start, random);
    CHECK_FALSE(choice.hasServer());
    CHECK(choice.reason == ChoiceReason::AllHeld);
    CHECK(table.choose({Service, {}, {}}, Start + Seconds(2), random).server == b.id);
}
