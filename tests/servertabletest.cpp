#include "traffic/servertable.h"

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
        result.seat = GroupSeat{GroupId(group), 1, 0, 2, true};
    }
    return result;
}

/// How often each server is chosen when no call ends.
std::map<std::string, int> choices(ServerTable &table, int calls, std::uint64_t seed = 1)
{
    Random random(seed);
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
        const auto choice = table.choose(Service, {}, Start, random);
        if (choice.hasServer()) {
            table.started(choice.server);
            ++counts[choice.server.value()];
        }
    }
    return counts;
}

} // namespace

TEST_CASE("calls spread evenly over equal servers, and those of other hosts count")
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

TEST_CASE("a call is refused at once when all servers have enough to do")
{
    ServerTable table;
    table.apply({{server("a", "d1", "g")}, {}});
    // Four slots, and 0.6 waiting calls for each.
    CHECK(choices(table, 20)["a"] == 7);
    Random random(1);
    CHECK(table.choose(Service, {}, Start, random).reason == ChoiceReason::AllFull);
}

TEST_CASE("a server that fails is avoided until its failures are old")
{
    ServerTable table;
    table.apply({{server("a"), server("b")}, {}});
    for (int i = 0; i < 2; ++i) {
        table.started(BackendServerId("a"));
        table.ended(BackendServerId("a"), AttemptEnd::Broken, Start);
    }
    Random random(1);
    CHECK(table.choose(Service, {}, Start, random).server == BackendServerId("b"));
    const auto last = table.choose(Service, {BackendServerId("b")}, Start, random);
    CHECK(last.server == BackendServerId("a"));
    CHECK(last.reason == ChoiceReason::LastResort);
    CHECK(table.choose(Service, {BackendServerId("b")}, Start + Seconds(20), random).reason
          == ChoiceReason::LeastLoaded);
}

TEST_CASE("a server whose address another instance has gets no calls until it registers anew")
{
    ServerTable table;
    auto replaced = server("a");
    replaced.address = "10.0.0.1:80";
    replaced.startedAt = 7;
    table.apply({{replaced}, {}});
    table.started(replaced.id);
    table.ended(replaced.id, AttemptEnd::OtherInstance, Start);
    Random random(1);
    CHECK_FALSE(table.isUsable(replaced.id));
    CHECK_FALSE(table.choose(Service, {}, Start + Seconds(60), random).hasServer());

    // Another load or state is no new registration.
    replaced.slots = 5;
    table.apply({{replaced}, {}});
    CHECK_FALSE(table.isUsable(replaced.id));
    replaced.startedAt = 8;
    table.apply({{replaced}, {}});
    CHECK(table.isUsable(replaced.id));
}

TEST_CASE("a group that lost a rank to another instance gets no calls until it is formed anew")
{
    ServerTable table;
    auto replaced = server("a", "d1", "g");
    auto other = server("b", "d1", "g");
    table.apply({{replaced, other}, {}});
    table.started(replaced.id);
    table.ended(replaced.id, AttemptEnd::OtherInstance, Start);
    CHECK_FALSE(table.isUsable(other.id));
    CHECK_FALSE(table.canServe(Service));
    other.seat->epoch = 2;
    table.apply({{other}, {}});
    CHECK(table.isUsable(other.id));
    CHECK_FALSE(table.isUsable(replaced.id));
}

TEST_CASE("a slow rank gets calls only when no other server is left")
{
    ServerTable table;
    table.apply({{server("a"), server("b")}, {}});
    table.setSlowness({{serverKey(BackendServerId("a")), 5.0F}});
    CHECK(choices(table, 6)["a"] == 0);
}

TEST_CASE("a leaving server, a closed group and a group that is cut off get no calls")
{
    ServerTable table;
    auto leaving = server("a");
    leaving.isLeaving = true;
    auto closed = server("b", "d1", "g1");
    closed.seat->isOpen = false;
    table.apply({{leaving, closed, server("c", "d1", "g2"), server("d", "d2", "g2")}, {}});
    table.setUnreachable({FailureDomainId("d2")});
    Random random(1);
    CHECK(table.choose(Service, {}, Start, random).reason == ChoiceReason::GroupsClosed);
    CHECK_FALSE(table.canServe(Service));
    CHECK_FALSE(table.isUsable(BackendServerId("c")));
    table.setUnreachable({});
    CHECK(table.canServe(Service));
    CHECK(choices(table, 4).size() == 2);
}

TEST_CASE("a server that is gone is forgotten after its last call, and its failures with its process")
{
    ServerTable table;
    table.apply({{server("a")}, {}});
    table.started(BackendServerId("a"));
    table.apply({{}, {BackendServerId("a")}});
    CHECK(table.server(BackendServerId("a")) == nullptr);
    CHECK(table.hasServers());
    table.ended(BackendServerId("a"), AttemptEnd::Delivered, Start);
    CHECK_FALSE(table.hasServers());
}

TEST_CASE("one rank that answers shows that its whole group works")
{
    ServerTable table;
    table.apply({{server("a", "d1", "g"), server("b", "d1", "g"), server("c")}, {}});
    table.signOfLife(BackendServerId("a"), Start);
    CHECK(table.lastSignOfLife(BackendServerId("b")) == Start);
    CHECK(table.lastSignOfLife(BackendServerId("c")) == SteadyTime());
}

TEST_CASE("hosts that see the same loads do not all choose the same server")
{
    // 24 hosts choose at once; the loads that they see are the same.
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
            distinct.insert(table.choose(Service, {}, Start, random).server.value());
        }
        chosen += distinct.size();
    }
    // The four servers that look least loaded are not the only ones that get calls.
    CHECK(chosen >= Rounds * std::size_t{5});
}
