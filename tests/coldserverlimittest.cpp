#include "support/coldfleet.h"
#include "traffic/serverquery.h"
#include "traffic/serverregistry.h"
#include "traffic/servertable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const ServiceId Limited("limited");
const ServiceId Unlimited("unlimited");
const BackendServerId A("a");
/// A third of the limit is what a cold server must get at least.
constexpr double LeastPart = 1.0 / 3;
/// Below this limit, whole calls are too coarse: the next smaller share may be less than a third.
constexpr double LeastLimit = 6;
constexpr std::size_t OnlyHostShare = 13;

DiscoveredServer server(const std::string &id, const ServiceId &service = Limited, std::uint64_t startedAt = 1)
{
    DiscoveredServer result;
    result.id = BackendServerId(id);
    result.service = service;
    result.slots = 100;
    result.startedAt = startedAt;
    return result;
}

std::unordered_map<ServiceId, TrafficService> services()
{
    TrafficService limited;
    limited.id = Limited;
    limited.coldStart = Seconds(8);
    limited.coldCallsPerSecond = 14;
    TrafficService unlimited;
    unlimited.id = Unlimited;
    unlimited.coldStart = Seconds(8);
    return {{Limited, limited}, {Unlimited, unlimited}};
}

ServerChanges firstList(std::vector<DiscoveredServer> servers)
{
    ServerChanges changes{std::move(servers), {}};
    changes.isFirstList = true;
    return changes;
}

/// The limit of the only host of a fleet, which started long ago.
ColdServerLimit limitOfOnlyHost()
{
    ColdServerLimit limit({HostId("h"), 1.5, 5});
    limit.setServices(services());
    limit.setHosts({}, Start);
    limit.setRegistered(Start - Seconds(60));
    return limit;
}

std::size_t sendAll(ColdServerLimit &limit, const BackendServerId &id, SteadyTime now)
{
    constexpr std::size_t Many = 1000;
    std::size_t count = 0;
    while (count < Many && limit.maySend(id, now)) {
        limit.recordStarted(id, now);
        ++count;
    }
    return count;
}

void checkLimit(const ColdFleet &fleet)
{
    CHECK(static_cast<double>(fleet.mostInOneSecond()) <= fleet.limit());
}

} // namespace

// Guards against cold servers that are flooded although each host keeps to a limit of its own.
TEST_CASE("hosts that do not hear each other keep a cold server within its limit and send it a fair part")
{
    for (const std::size_t hosts : {1, 2, 3, 4, 5, 6, 53, 300}) {
        CAPTURE(hosts);
        ColdFleet::Options options;
        options.hosts = hosts;
        ColdFleet calm(options, hosts);
        calm.play(Seconds(12));
        checkLimit(calm);
        CHECK(calm.leastPerSecond() >= LeastPart * calm.limit());
        options.connectTime = Milliseconds(400);
        options.hasFreezes = true;
        options.hasRestarts = true;
        ColdFleet disturbed(options, hosts);
        disturbed.play(Seconds(12));
        checkLimit(disturbed);
    }
}

// Guards against a limit that holds only while all hosts have the same list of hosts.
TEST_CASE("lists that lack one of the hosts do not break the limit")
{
    for (const std::size_t hosts : {1, 2, 3, 4, 5, 6, 53, 300}) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            CAPTURE(hosts);
            CAPTURE(seed);
            ColdFleet::Options options;
            options.hosts = hosts;
            options.servers = 6;
            options.hasOutdatedLists = true;
            ColdFleet fleet(options, seed);
            fleet.play(Seconds(6));
            checkLimit(fleet);
            CHECK(fleet.leastPerSecond() >= LeastPart * fleet.limit());
        }
    }
}

TEST_CASE("the limit holds and is used for any rate, overshoot, slack and number of hosts")
{
    CHECK(rc::check("limit of cold servers", [] {
        ColdFleet::Options options;
        options.hosts = *rc::gen::inRange<std::size_t>(1, 13);
        options.servers = 2;
        options.rate = *rc::gen::inRange(1, 400) / 8.0;
        options.overshoot = *rc::gen::inRange(4, 25) / 8.0;
        options.slack = *rc::gen::inRange(0, 80) / 8.0;
        options.hasOutdatedLists = *rc::gen::arbitrary<bool>();
        options.hasFreezes = *rc::gen::arbitrary<bool>();
        options.hasRestarts = *rc::gen::arbitrary<bool>();
        const bool isCalm = !options.hasFreezes && !options.hasRestarts;
        options.connectTime = Milliseconds(isCalm ? 0 : *rc::gen::inRange(0, 400));
        ColdFleet fleet(options, *rc::gen::arbitrary<std::uint64_t>());
        fleet.play(Seconds(6));
        RC_ASSERT(static_cast<double>(fleet.mostInOneSecond()) <= fleet.limit());
        RC_ASSERT(!isCalm || fleet.limit() < LeastLimit || fleet.leastPerSecond() >= LeastPart * fleet.limit());
    }));
}

TEST_CASE("the share is divided among at most four hosts, and among fewer if it would be less than one call")
{
    const double limit = 26;
    CHECK(coldShareOf(limit, 0) == ColdShare{0, 0});
    CHECK(coldShareOf(limit, 1) == ColdShare{1, OnlyHostShare});
    CHECK(coldShareOf(limit, 2) == ColdShare{2, 8});
    CHECK(coldShareOf(limit, 3) == ColdShare{3, 6});
    CHECK(coldShareOf(limit, 4) == ColdShare{4, 4});
    CHECK(coldShareOf(limit, 300) == ColdShare{4, 4});
    CHECK(coldShareOf(4, 53) == ColdShare{3, 1});
    CHECK(coldShareOf(2, 53) == ColdShare{1, 1});
    CHECK(coldShareOf(1, 53) == ColdShare{0, 0});
    CHECK(coldShareOf(1e30, 53).senders == 4);
    CHECK(coldShareOf(-1, 53) == ColdShare{0, 0});
}

// Guards against a host that spends the share of its predecessor, or that acts on a list that lacks all others.
TEST_CASE("a host sends nothing to a cold server before it knows the others, is listed and is older than the window")
{
    ColdServerLimit limit({HostId("h"), 1.5, 5});
    limit.setServices(services());
    limit.apply({{server("a")}, {}}, Start);
    CHECK_FALSE(limit.maySend(A, Start));
    limit.setRegistered(Start);
    CHECK_FALSE(limit.maySend(A, Start + Seconds(2)));
    limit.setHosts({}, Start);
    CHECK_FALSE(limit.maySend(A, Start + Milliseconds(1099)));
    CHECK(limit.maySend(A, Start + Milliseconds(1100)));
    for (int host = 0; host < 3; ++host) {
        limit.addHost(HostId("other-" + std::to_string(host)), Start);
    }
    CHECK(sendAll(limit, A, Start + Seconds(2)) == 4);
}

// Guards against hosts that each take themselves for the only one because the store answers with an outdated list.
TEST_CASE("a host counts until it has been missing in the lists for a minute")
{
    auto limit = limitOfOnlyHost();
    limit.apply({{server("a")}, {}}, Start);
    limit.setHosts({HostId("x"), HostId("y")}, Start);
    limit.setHosts({}, Start + Seconds(60));
    limit.recordStated({A, Seconds(8)}, Start + Seconds(60));
    CHECK(sendAll(limit, A, Start + Seconds(60)) == 6);
    limit.setHosts({}, Start + Seconds(61));
    CHECK(sendAll(limit, A, Start + Seconds(62)) == OnlyHostShare);
}

TEST_CASE("a call counts from when it is sent, and one that is sent too late is withdrawn")
{
    auto limit = limitOfOnlyHost();
    limit.apply({{server("a")}, {}}, Start);
    CHECK(sendAll(limit, A, Start) == OnlyHostShare);
    CHECK(limit.recordSent(A, Start, Start + Milliseconds(400)));
    CHECK(sendAll(limit, A, Start + Milliseconds(1100)) == OnlyHostShare - 1);
    CHECK_FALSE(limit.recordSent(A, Start, Start + Milliseconds(1200)));
    CHECK(sendAll(limit, A, Start + Milliseconds(1500)) == 1);
    CHECK(limit.recordSent(A, Start + Milliseconds(1500), Start + Milliseconds(1500)));
}

// Guards against calls that had been sent before this host learned that the server is cold.
TEST_CASE("calls to a server that turns out to be cold count")
{
    auto limit = limitOfOnlyHost();
    limit.apply(firstList({server("a")}), Start);
    CHECK(sendAll(limit, A, Start) == 1000);
    limit.recordStated({A, Seconds(8)}, Start + Milliseconds(10));
    CHECK_FALSE(limit.maySend(A, Start + Milliseconds(10)));
    CHECK_FALSE(limit.recordSent(A, Start, Start + Milliseconds(10)));
    CHECK(sendAll(limit, A, Start + Milliseconds(1100)) == OnlyHostShare);
}

TEST_CASE("a server is cold while it states so, after a new process and after an evacuation")
{
    auto limit = limitOfOnlyHost();
    limit.apply(firstList({server("a")}), Start);
    CHECK_FALSE(limit.isCold(A, Start));
    SUBCASE("stated, and a later statement that arrived earlier")
    {
        limit.recordStated({A, Seconds(3)}, Start);
        limit.recordStated({A, Seconds(0)}, Start + Seconds(1));
        CHECK(limit.isCold(A, Start + Milliseconds(2999)));
        CHECK_FALSE(limit.isCold(A, Start + Seconds(3)));
    }
    SUBCASE("a wrong statement counts no longer than a start takes")
    {
        limit.recordStated({A, Milliseconds(86'400'000)}, Start);
        limit.recordStated({A, Milliseconds(-1)}, Start);
        CHECK_FALSE(limit.isCold(A, Start + Seconds(10)));
    }
    SUBCASE("a new process")
    {
        limit.apply({{server("a", Limited, 2)}, {}}, Start);
        CHECK(limit.isCold(A, Start + Milliseconds(7999)));
        CHECK_FALSE(limit.isCold(A, Start + Seconds(8)));
    }
    SUBCASE("the same process registers again")
    {
        limit.apply({{}, {A}}, Start);
        limit.apply({{server("a")}, {}}, Start + Seconds(5));
        CHECK_FALSE(limit.isCold(A, Start + Seconds(5)));
    }
    SUBCASE("another server appears")
    {
        limit.apply({{server("b")}, {}}, Start);
        CHECK(limit.isCold(BackendServerId("b"), Start));
        CHECK_FALSE(limit.isCold(A, Start));
    }
    SUBCASE("the evacuation of its failure domain ended")
    {
        limit.recordRestored({A, BackendServerId("unknown")}, Start);
        CHECK(limit.isCold(A, Start + Milliseconds(9999)));
        CHECK_FALSE(limit.isCold(A, Start + Seconds(10)));
    }
}

TEST_CASE("a server that becomes cold or warm is reported once")
{
    auto limit = limitOfOnlyHost();
    limit.apply(firstList({server("a")}), Start);
    CHECK(limit.takeChanges(Start).empty());
    for (int heartbeat = 0; heartbeat < 4; ++heartbeat) {
        const auto time = Milliseconds(1200) * heartbeat;
        limit.recordStated({A, Milliseconds(6000) - time}, Start + time);
        CHECK(limit.takeChanges(Start + time).size() == (heartbeat == 0 ? 1 : 0));
    }
    CHECK(limit.coldCount(Start + Seconds(5)) == 1);
    const auto changes = limit.takeChanges(Start + Seconds(6));
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].reason.has_value());
    CHECK(limit.coldCount(Start + Seconds(6)) == 0);
}

TEST_CASE("a service without a rate and a host without both settings are never limited")
{
    auto limit = limitOfOnlyHost();
    limit.apply({{server("u", Unlimited)}, {}}, Start);
    const BackendServerId u("u");
    limit.recordStated({u, Seconds(8)}, Start);
    CHECK_FALSE(limit.isCold(u, Start));
    CHECK(sendAll(limit, u, Start) == 1000);
    CHECK(limit.takeChanges(Start).empty());
    for (auto partial : {ColdServerLimit(),
                         ColdServerLimit({HostId("h"), 1.5, std::nullopt}),
                         ColdServerLimit({HostId("h"), std::nullopt, 5})}) {
        partial.setServices(services());
        partial.apply({{server("a")}, {}}, Start);
        partial.recordStated({A, Seconds(8)}, Start);
        CHECK(sendAll(partial, A, Start) == 1000);
        CHECK(partial.recordSent(A, Start, Start));
    }
}

// Guards against calls that are refused, or sent to a cold server beyond its limit, while a warm one could take them.
TEST_CASE("a table skips cold servers that the host may not use, and only those")
{
    ServerTable table;
    table.coldServers() = limitOfOnlyHost();
    const auto apply = [&table](const ServerChanges &changes) {
        table.coldServers().apply(changes, Start);
        table.apply(changes);
    };
    Random random(1);
    apply({{server("a")}, {}});
    CHECK(sendAll(table.coldServers(), A, Start) == OnlyHostShare);
    const auto none = table.choose({Limited, {}, {}}, Start, random);
    CHECK_FALSE(none.hasServer());
    CHECK(none.reason == ChoiceReason::AllCold);
    CHECK(none.skippedCold == 1);
    auto changes = firstList({server("w")});
    apply(changes);
    for (int call = 0; call < 50; ++call) {
        const auto choice = table.choose({Limited, {}, {}}, Start, random);
        REQUIRE(choice.server == BackendServerId("w"));
        table.recordCallStarted(choice.server);
        table.coldServers().recordStarted(choice.server, Start);
    }
    CHECK(table.choose({Limited, {}, {}}, Start + Milliseconds(1100), random).server == A);
}

// Guards against work and log lines for each registration of a server whose remaining time counts down, and against a
// server that goes cold without a restart and is taken as warm.
TEST_CASE("a registration in which only the remaining time differs changes no server, but states that it is cold")
{
    ServerRegistry registry;
    auto registration = server("a");
    registry.replaceAll({registration}, Start);
    auto changes = registry.takeChanges();
    CHECK(changes.isFirstList);
    CHECK(changes.updated.size() == 1);
    CHECK(changes.cold.empty());
    registry.put(registration);
    CHECK(registry.takeChanges().isEmpty());
    for (const int remaining : {8000, 6800, 6800, 8000}) {
        registration.coldRemaining = Milliseconds(remaining);
        registry.put(registration);
        changes = registry.takeChanges();
        CHECK_FALSE(changes.isFirstList);
        CHECK_FALSE(changes.hasChangedServers());
        REQUIRE(changes.cold.size() == 1);
        CHECK(changes.cold[0].remaining == Milliseconds(remaining));
    }
    registration.coldRemaining = Milliseconds(0);
    registry.put(registration);
    CHECK(registry.takeChanges().isEmpty());
    registration.slots = 7;
    registry.put(registration);
    CHECK(registry.takeChanges().updated.size() == 1);
}
