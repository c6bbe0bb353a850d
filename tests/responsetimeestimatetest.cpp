// Guards against wrong expectations of response times: servers that look slower than they are get no calls, and servers
// that look faster get too many.

#include "traffic/responsetimeestimate.h"

#include "support/promptcalls.h"
#include "traffic/domainlatencies.h"
#include "traffic/observedtimes.h"
#include "traffic/serverprocess.h"
#include "traffic/serverquery.h"
#include "traffic/servertable.h"
#include "traffic/servicetimes.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const ServiceId Service("s");
const FailureDomainId Near("near");
const FailureDomainId Far("far");

DiscoveredServer server(const std::string &id, const FailureDomainId &domain)
{
    DiscoveredServer result;
    result.id = BackendServerId(id);
    result.service = Service;
    result.failureDomain = domain;
    result.slots = 6;
    return result;
}

void recordAnswers(ServerTable &table, const DiscoveredServer &server, Milliseconds time, int count = 20)
{
    for (int i = 0; i < count; ++i) {
        table.recordAnswered(processOf(server), time, 1, Start);
    }
}

/// A table with a near and a far server, of which the latencies and service times are known.
ServerTable knownTable(ServerTableOptions options = {})
{
    ServerTable table(options);
    table.apply({{server("n", Near), server("f", Far)}, {}});
    table.recordConnectTime(Near, Microseconds(200), Start);
    table.recordConnectTime(Far, Microseconds(2800), Start);
    recordAnswers(table, server("n", Near), Milliseconds(15));
    recordAnswers(table, server("f", Far), Milliseconds(18));
    return table;
}

std::map<std::string, int> choices(const ServerTable &table, int count = 100, SteadyTime now = Start)
{
    Random random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
        ++counts[table.choose({Service, {}, {}}, now, random).server.value()];
    }
    return counts;
}

void startCalls(ServerTable &table, const std::string &id, int count)
{
    for (int i = 0; i < count; ++i) {
        table.recordCallStarted(BackendServerId(id));
    }
}

ObservedTimes timesOf(const std::vector<double> &values)
{
    ObservedTimes times;
    for (const auto value : values) {
        times.add(value);
    }
    return times;
}

} // namespace

TEST_CASE("a call waits only for calls in excess of the slots")
{
    const ResponseTimeEstimate estimate{6, 15, 2.8};
    CHECK(estimate.milliseconds(1) == doctest::Approx(17.8));
    CHECK(estimate.milliseconds(6) == doctest::Approx(17.8));
    CHECK(estimate.milliseconds(7) == doctest::Approx(20.3));
    CHECK(estimate.milliseconds(12) == doctest::Approx(32.8));
}

TEST_CASE("the wait and the way are not part of the service time")
{
    const auto serviceMs = [](Microseconds elapsed, double calls) {
        return ResponseTimeEstimate::serviceMsFrom(elapsed, Microseconds(2800), calls, 6);
    };
    CHECK(serviceMs(Microseconds(17'800), 6) == doctest::Approx(15));
    CHECK(serviceMs(Microseconds(32'800), 12) == doctest::Approx(15));
    CHECK(serviceMs(Microseconds(1000), 1) == 0);
}

TEST_CASE("times that differ by less than a tenth of the service time are equal")
{
    const ResponseTimeEstimate estimate{6, 15, 0};
    CHECK(estimate.isNearlyEqual(20, 21.4));
    CHECK_FALSE(estimate.isNearlyEqual(20, 21.6));
    // Half a millisecond is not a difference, however short the calls are.
    const ResponseTimeEstimate quick{6, 1, 0};
    CHECK(quick.isNearlyEqual(1, 1.4));
    CHECK_FALSE(quick.isNearlyEqual(1, 1.6));
}

TEST_CASE("fewer calls stay the longer the wait, and none if this host knows all calls itself")
{
    CHECK(ResponseTimeEstimate::stayProbability(20, 20, 1) == doctest::Approx(1));
    CHECK(ResponseTimeEstimate::stayProbability(80, 20, 1) == doctest::Approx(0.5));
    CHECK(ResponseTimeEstimate::stayProbability(80, 20, 0.5) == doctest::Approx(0.25));
    CHECK(ResponseTimeEstimate::stayProbability(80, 20, 0) == 0);
}

TEST_CASE("a server has a service time of its own only if chance does not explain the difference")
{
    const auto unknown = timesOf({});
    const auto usual = timesOf({10, 20, 10, 20, 10, 20, 10, 20});
    const auto longer = timesOf({20, 20, 10, 20, 10, 20, 20, 20});
    const auto slow = timesOf({60, 70, 60, 70, 60, 70, 60, 70});
    auto service = usual;
    service += longer;
    CHECK(serviceMsOf(unknown, service) == doctest::Approx(service.meanMs()));
    CHECK(serviceMsOf(longer, service) == doctest::Approx(service.meanMs()));
    service = usual;
    service += usual;
    service += slow;
    CHECK(serviceMsOf(slow, service) == doctest::Approx(65));
    CHECK(serviceMsOf(timesOf({65}), service) == doctest::Approx(service.meanMs()));
}

TEST_CASE("service times are forgotten after ten seconds, or when another process has the id")
{
    ServiceTimes times;
    const BackendServerId id("s1");
    times.record(id, 100, Start);
    times.record(id, 20, Start + Seconds(5));
    CHECK(times.latest(id, Start + Seconds(10)).meanMs() == doctest::Approx(60));
    CHECK(times.latest(id, Start + Seconds(11)).meanMs() == doctest::Approx(20));
    CHECK(times.latest(id, Start + Seconds(16)).count == 0);
    for (int i = 0; i < 100; ++i) {
        times.record(id, i < 36 ? 100 : 15, Start);
    }
    CHECK(times.latest(id, Start).count == 64);
    CHECK(times.latest(id, Start).meanMs() == doctest::Approx(15));
    times.forget(id);
    CHECK(times.latest(id, Start).count == 0);
}

TEST_CASE("the latency of a domain is that of its quickest connection lately")
{
    DomainLatencies latencies;
    CHECK(latencies.roundTrip(Far, Start) == Microseconds(0));
    latencies.record(Far, Microseconds(9000), Start);
    CHECK(latencies.roundTrip(Far, Start) == Microseconds(9000));
    latencies.record(Far, Microseconds(2800), Start);
    latencies.record(Far, Microseconds(4000), Start);
    CHECK(latencies.roundTrip(Far, Start) == Microseconds(2800));
    CHECK(latencies.roundTrip(Near, Start) == Microseconds(0));
    // A path that has become longer is noticed.
    for (int i = 0; i < 8; ++i) {
        latencies.record(Far, Microseconds(20'000), Start);
    }
    CHECK(latencies.roundTrip(Far, Start) == Microseconds(20'000));
}

TEST_CASE("a domain is measured again although its latency was long once")
{
    DomainLatencies latencies;
    latencies.record(Far, Microseconds(300'000), Start);
    CHECK(latencies.roundTrip(Far, Start + Seconds(10)) == Microseconds(300'000));
    CHECK(latencies.roundTrip(Far, Start + Seconds(120)) < Microseconds(1000));
    latencies.record(Far, Microseconds(2800), Start + Seconds(121));
    CHECK(latencies.roundTrip(Far, Start + Seconds(121)) == Microseconds(2800));
}

TEST_CASE("a server in another domain is chosen only where it responds sooner")
{
    auto table = knownTable();
    startCalls(table, "n", 5);
    CHECK(choices(table)["n"] == 100);
    // By load alone the far server would be chosen.
    ServerTableOptions byLoad;
    byLoad.maxEstimatedServers = 0;
    auto before = knownTable(byLoad);
    startCalls(before, "n", 5);
    CHECK(choices(before)["f"] == 100);

    startCalls(table, "n", 2);
    Random random(1);
    const auto choice = table.choose({Service, {}, {}}, Start, random);
    CHECK(choice.server == BackendServerId("f"));
    CHECK(choice.expectedMs == doctest::Approx(18).epsilon(0.05));
}

TEST_CASE("a loaded near server is chosen with the reason that the response is expected sooner")
{
    auto table = knownTable();
    startCalls(table, "n", 3);
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).reason == ChoiceReason::SoonestResponse);
}

TEST_CASE("hosts that know the wait only from notices do not all move their calls")
{
    auto table = knownTable();
    table.setPeerLoads({{serverKey(BackendServerId("n")), 14}});
    auto counts = choices(table, 1000);
    CHECK(counts["n"] > 600);
    CHECK(counts["f"] > 100);
    // Also if the notices show the near server as full.
    table.setPeerLoads({{serverKey(BackendServerId("n")), 16}});
    counts = choices(table, 1000);
    CHECK(counts["n"] > 500);
    CHECK(counts["f"] > 100);
    // If all are full, calls are refused as ever.
    table.setPeerLoads({{serverKey(BackendServerId("n")), 16}, {serverKey(BackendServerId("f")), 16}});
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).reason == ChoiceReason::AllFull);
}

TEST_CASE("servers with nearly equal times share the calls")
{
    auto table = knownTable();
    table.apply({{server("f2", Far)}, {}});
    startCalls(table, "n", 9);
    const auto counts = choices(table, 1000);
    CHECK(counts.at("f") > 400);
    CHECK(counts.at("f2") > 400);
}

TEST_CASE("a slow server gets no calls while another responds sooner, until its times are old")
{
    ServerTable table;
    table.apply({{server("n", Near), server("f", Far)}, {}});
    recordAnswers(table, server("n", Near), Milliseconds(90));
    recordAnswers(table, server("f", Far), Milliseconds(15));
    CHECK(choices(table)["f"] == 100);
    recordAnswers(table, server("f", Far), Milliseconds(15));
    const auto counts = choices(table, 100, Start + Seconds(11));
    CHECK(counts.at("n") > 25);
    CHECK(counts.at("f") > 25);
}

TEST_CASE("a server that fails is avoided, however soon it would respond")
{
    auto table = knownTable();
    for (int i = 0; i < 2; ++i) {
        startCalls(table, "n", 1);
        table.recordCallEnded(BackendServerId("n"), AttemptEnd::Broken, Start);
    }
    CHECK(choices(table)["f"] == 100);
    Random random(1);
    CHECK(table.choose({Service, {BackendServerId("f")}, {}}, Start, random).reason == ChoiceReason::LastResort);
}

TEST_CASE("a host does not fill a server beyond its limit by its own calls, however far the others are")
{
    ServerTable table;
    table.apply({{server("n", Near), server("f", Far)}, {}});
    table.recordConnectTime(Far, Milliseconds(60), Start);
    recordAnswers(table, server("n", Near), Milliseconds(15));
    recordAnswers(table, server("f", Far), Milliseconds(75));
    startCalls(table, "n", 14);
    CHECK(choices(table)["n"] == 100);
    startCalls(table, "n", 1);
    CHECK(choices(table)["f"] == 100);
}

TEST_CASE("full servers get no calls because a server that fails has room")
{
    auto table = knownTable();
    table.apply({{server("f2", Far)}, {}});
    for (int i = 0; i < 2; ++i) {
        startCalls(table, "n", 1);
        table.recordCallEnded(BackendServerId("n"), AttemptEnd::Broken, Start);
    }
    table.setPeerLoads({{serverKey(BackendServerId("f")), 15}, {serverKey(BackendServerId("f2")), 15}});
    CHECK(choices(table)["n"] == 100);
    Random random(1);
    CHECK(table.choose({Service, {}, {}}, Start, random).reason == ChoiceReason::LastResort);
    CHECK(table.choose({Service, {BackendServerId("n")}, {}}, Start, random).reason == ChoiceReason::AllFull);
}

TEST_CASE("streams and prompts are not sent by the service times of other calls")
{
    auto table = knownTable();
    const auto reuse = promptCall({{"part", 3000}}, 100);
    table.recordPromptStarted(BackendServerId("f"), reuse, Start);
    Random random(1);
    const auto held = table.choose({Service, {}, {}, reuse}, Start, random);
    CHECK(held.server == BackendServerId("f"));
    CHECK(held.reason == ChoiceReason::HoldsPrompt);
    StreamAdmission admission{Milliseconds(2000), 25, Milliseconds(400), Milliseconds(400), {}};
    CHECK(table.choose({Service, {}, admission}, Start, random).expectedMs == 0);
}

TEST_CASE("without service times, with one domain, many servers or groups, choices are as by load alone")
{
    const auto same = [](const std::vector<DiscoveredServer> &servers, bool isAnswered) {
        std::vector<std::string> sequences;
        for (const std::size_t maxServers : {std::size_t(0), ServerTableOptions().maxEstimatedServers}) {
            ServerTableOptions options;
            options.maxEstimatedServers = maxServers;
            ServerTable table(options);
            table.apply({servers, {}});
            table.recordConnectTime(Far, Milliseconds(5), Start);
            Random random(7);
            std::string sequence;
            for (int i = 0; i < 20; ++i) {
                const auto choice = table.choose({Service, {}, {}}, Start, random);
                sequence += choice.server.value() + " ";
                table.recordCallStarted(choice.server);
                if (isAnswered) {
                    recordAnswers(table, servers.front(), Milliseconds(20), 1);
                }
            }
            sequences.push_back(sequence);
        }
        return sequences[0] == sequences[1];
    };
    const std::vector<DiscoveredServer> two{server("n", Near), server("f", Far)};
    CHECK(same(two, false));
    CHECK_FALSE(same(two, true));
    CHECK(same({server("a", Near), server("b", Near), server("c", Near)}, true));
    std::vector<DiscoveredServer> many;
    many.reserve(5);
    for (int i = 0; i < 5; ++i) {
        many.push_back(server("s" + std::to_string(i), i % 2 == 0 ? Near : Far));
    }
    CHECK(same(many, true));
    auto ranks = two;
    for (auto &rank : ranks) {
        rank.groupMembership = GroupMembership{GroupId("g"), 1, 0, 2, true};
    }
    CHECK(same(ranks, true));
}

TEST_CASE("answers of another process or of a removed server are not counted")
{
    ServerTable table;
    auto near = server("n", Near);
    near.startedAt = 1;
    table.apply({{near, server("f", Far)}, {}});
    auto later = near;
    later.startedAt = 2;
    recordAnswers(table, near, Milliseconds(90));
    table.apply({{later}, {}});
    recordAnswers(table, near, Milliseconds(90));
    for (const auto &estimate : table.estimates(Start)) {
        CHECK(estimate.samples == 0);
    }
    recordAnswers(table, later, Milliseconds(15));
    for (const auto &estimate : table.estimates(Start)) {
        CHECK(estimate.samples == (estimate.server == near.id ? 20 : 0));
        CHECK(estimate.serviceMs == doctest::Approx(15));
    }
}
