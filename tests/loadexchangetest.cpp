#include "traffic/loadexchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};

LoadNotice notice(const std::string &host, std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t calls)
{
    LoadNotice result;
    result.host = host;
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.calls = {{1, calls}};
    return result;
}

} // namespace

TEST_CASE("the loads in the newest notice of each other host are added up")
{
    LoadExchange exchange("a", "d", 1);
    CHECK(exchange.take(notice("b", 1, 1, 2), Start));
    CHECK(exchange.take(notice("c", 1, 1, 3), Start));
    CHECK(exchange.peerLoads(Start)[1] == 5);
    CHECK(exchange.take(notice("b", 1, 3, 4), Start));
    CHECK_FALSE(exchange.take(notice("b", 1, 2, 9), Start));
    CHECK(exchange.peerLoads(Start)[1] == 7);
    CHECK(exchange.take(notice("b", 2, 1, 0), Start));
    CHECK(exchange.peerLoads(Start)[1] == 3);
    CHECK_FALSE(exchange.take(notice("a", 9, 1, 50), Start));
    CHECK(exchange.hostCount(Start) == 3);
}

TEST_CASE("calls of a host that sends no notices are no longer counted")
{
    LoadExchange exchange("a", "d", 1);
    exchange.take(notice("b", 1, 1, 2), Start);
    CHECK(exchange.peerLoads(Start + Seconds(10)).empty());
    CHECK(exchange.hostCount(Start + Seconds(10)) == 1);
}

TEST_CASE("a host without notices is unresponsive, unless most hosts are")
{
    LoadExchange exchange("a", "d", 1);
    for (const auto *host : {"b", "c", "e"}) {
        exchange.take(notice(host, 1, 1, 2), Start);
    }
    CHECK(exchange.silentHosts(Start + Milliseconds(600)).empty());
    const auto later = Start + Milliseconds(1000);
    exchange.take(notice("b", 1, 2, 2), later);
    exchange.take(notice("c", 1, 2, 2), later);
    CHECK(exchange.silentHosts(later) == std::set<std::string>{"e"});
    // Most hosts are unresponsive, so this host is probably cut off or was suspended.
    CHECK(exchange.silentHosts(later + Seconds(2)).empty());
    exchange.take(notice("b", 1, 3, 2), later + Seconds(5));
    exchange.take(notice("c", 1, 3, 2), later + Seconds(5));
    CHECK(exchange.silentHosts(later + Seconds(5)) == std::set<std::string>{"e"});
    exchange.take(notice("e", 1, 2, 2), later + Seconds(5));
    CHECK(exchange.silentHosts(later + Seconds(5)).empty());
}

TEST_CASE("the hosts of the own failure domain are those whose notices arrive")
{
    LoadExchange exchange("a", "d", 1);
    for (const auto *host : {"b", "c", "e"}) {
        auto received = notice(host, 1, 1, 2);
        received.failureDomain = host == std::string("e") ? "other" : "d";
        exchange.take(received, Start);
    }
    CHECK(exchange.domainHosts(Start) == std::set<std::string>{"b", "c"});
    auto again = notice("c", 1, 2, 2);
    again.failureDomain = "d";
    exchange.take(again, Start + Seconds(2));
    CHECK(exchange.domainHosts(Start + Seconds(4)) == std::set<std::string>{"c"});
    CHECK(exchange.hears("c", Start + Seconds(4)));
    CHECK_FALSE(exchange.hears("b", Start + Seconds(4)));
}

TEST_CASE("changed loads are sent soon, unchanged loads at the longest interval")
{
    LoadExchange exchange("a", "d", 1);
    REQUIRE(exchange.nextNotice({{1, 1}}, Start));
    CHECK_FALSE(exchange.nextNotice({{1, 2}}, Start + Milliseconds(10)));
    CHECK(exchange.nextNotice({{1, 2}}, Start + Milliseconds(200)));
    CHECK_FALSE(exchange.nextNotice({{1, 2}}, Start + Milliseconds(400)));
    CHECK(exchange.nextNotice({{1, 2}}, Start + Milliseconds(1500)));
}

TEST_CASE("slow ranks that any host reports are combined")
{
    LoadExchange exchange("a", "d", 1);
    auto reported = notice("b", 1, 1, 0);
    reported.slowRanks = {{5, 3.0F}};
    exchange.take(reported, Start);
    exchange.setOwnSlowness({{5, 2.0F}, {6, 4.0F}});
    CHECK(exchange.slowdownFactors() == SlowdownFactors{{5, 3.0F}, {6, 4.0F}});
}

TEST_CASE("a notice can be packed and unpacked, and other bytes are rejected")
{
    auto original = notice("b", 7, 8, 9);
    original.failureDomain = "d2";
    const auto read = unpackNotice(packNotice(original));
    REQUIRE(read);
    CHECK(read->host == "b");
    CHECK(read->failureDomain == "d2");
    CHECK(read->calls == original.calls);
    original.format = 99;
    CHECK_FALSE(unpackNotice(packNotice(original)));
    CHECK(rc::check([](const std::string &bytes) { RC_ASSERT(!unpackNotice(bytes)); }));
}
