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
    CHECK(exchange.processNotice(notice("b", 1, 1, 2), Start));
    CHECK(exchange.processNotice(notice("c", 1, 1, 3), Start));
    CHECK(exchange.peerLoads(Start)[1] == 5);
    CHECK(exchange.processNotice(notice("b", 1, 3, 4), Start));
    CHECK_FALSE(exchange.processNotice(notice("b", 1, 2, 9), Start));
    CHECK(exchange.peerLoads(Start)[1] == 7);
    CHECK(exchange.processNotice(notice("b", 2, 1, 0), Start));
    CHECK(exchange.peerLoads(Start)[1] == 3);
    CHECK_FALSE(exchange.processNotice(notice("a", 9, 1, 50), Start));
    CHECK(exchange.hostCount(Start) == 3);
}

TEST_CASE("calls of a host that sends no notices are no longer counted")
{
    LoadExchange exchange("a", "d", 1);
    exchange.processNotice(notice("b", 1, 1, 2), Start);
    CHECK(exchange.peerLoads(Start + Seconds(10)).empty());
    CHECK(exchange.hostCount(Start + Seconds(10)) == 1);
}

TEST_CASE("a host without notices is unresponsive, unless most hosts are")
{
    LoadExchange exchange("a", "d", 1);
    for (const auto *host : {"b", "c", "e"}) {
        exchange.processNotice(notice(host, 1, 1, 2), Start);
    }
    CHECK(exchange.unresponsiveHosts(Start + Milliseconds(600)).empty());
    const auto later = Start + Milliseconds(1000);
    exchange.processNotice(notice("b", 1, 2, 2), later);
    exchange.processNotice(notice("c", 1, 2, 2), later);
    CHECK(exchange.unresponsiveHosts(later) == std::set<std::string>{"e"});
    // Most hosts are unresponsive, so this host is probably cut off or was suspended.
    CHECK(exchange.unresponsiveHosts(later + Seconds(2)).empty());
    exchange.processNotice(notice("b", 1, 3, 2), later + Seconds(5));
    exchange.processNotice(notice("c", 1, 3, 2), later + Seconds(5));
    CHECK(exchange.unresponsiveHosts(later + Seconds(5)) == std::set<std::string>{"e"});
    exchange.processNotice(notice("e", 1, 2, 2), later + Seconds(5));
    CHECK(exchange.unresponsiveHosts(later + Seconds(5)).empty());
}

TEST_CASE("the hosts of the own failure domain are those whose notices arrive")
{
    LoadExchange exchange("a", "d", 1);
    for (const auto *host : {"b", "c", "e"}) {
        auto received = notice(host, 1, 1, 2);
        received.failureDomain = host == std::string("e") ? "other" : "d";
        exchange.processNotice(received, Start);
    }
    CHECK(exchange.sameDomainHosts(Start) == std::set<std::string>{"b", "c"});
    auto again = notice("c", 1, 2, 2);
    again.failureDomain = "d";
    exchange.processNotice(again, Start + Seconds(2));
    CHECK(exchange.sameDomainHosts(Start + Seconds(4)) == std::set<std::string>{"c"});
    CHECK(exchange.isResponsive("c", Start + Seconds(4)));
    CHECK_FALSE(exchange.isResponsive("b", Start + Seconds(4)));
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
    exchange.processNotice(reported, Start);
    exchange.setOwnSlowServers({{5, 2.0F}, {6, 4.0F}});
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
