#include "rebalance/coordinatorlease.h"
#include "rebalance/groupdirectory.h"
#include "rebalance/ordertokens.h"
#include "traffic/engineprofile.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
constexpr Seconds LongEnough{20};

DiscoveredServer rankOf(std::uint32_t rank, std::uint64_t epoch, bool isOpen = true)
{
    DiscoveredServer server;
    server.id = BackendServerId("r" + std::to_string(rank) + "-" + std::to_string(epoch));
    server.service = ServiceId("s");
    server.groupMembership = GroupMembership{GroupId("g"), epoch, rank, 2, isOpen};
    return server;
}

} // namespace

TEST_CASE("a lease is free only if it was not renewed within its lifetime")
{
    Random random(1);
    CoordinatorLease lease("a", "1");
    lease.observe({5, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
    CHECK_FALSE(lease.shouldAcquire(Start + Seconds(4)));
    lease.observe({6, "b", "1"}, CoordinatorFitness{Locality::Local}, Start + Seconds(4), random);
    CHECK_FALSE(lease.shouldAcquire(Start + Seconds(8)));
    lease.observe({6, "b", "1"}, CoordinatorFitness{Locality::Local}, Start + Seconds(8), random);
    CHECK(lease.shouldAcquire(Start + LongEnough));
    CHECK(lease.expectedVersion() == 6);
}

TEST_CASE("a remote host acquires a free lease only after all local hosts had time to")
{
    constexpr int Hosts = 200;
    const CoordinatorLeaseOptions options;
    for (const std::uint64_t version : {0, 6}) {
        const auto lastLocal
            = Start + (version == 0 ? Milliseconds(0) : options.lifetime) + options.attemptJitter + Seconds(1);
        for (int host = 0; host < Hosts; ++host) {
            Random random(static_cast<std::uint64_t>(host));
            CoordinatorLease local("a", "1");
            local.observe({version, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
            REQUIRE(local.shouldAcquire(lastLocal));
            CoordinatorLease remote("c", "1");
            remote.observe({version, "b", "1"}, CoordinatorFitness{Locality::Remote}, Start, random);
            REQUIRE_FALSE(remote.shouldAcquire(lastLocal));
            REQUIRE(remote.shouldAcquire(Start + LongEnough));
        }
    }
}

TEST_CASE("of the local hosts of a large group, one with a fast enough link acquires a free lease first")
{
    constexpr int Hosts = 30;
    constexpr std::size_t Ranks = 96;
    EngineProfile engine;
    engine.expertLayers = 16;
    engine.expertsPerLayer = 192;
    engine.replicasPerRank = 3;
    const CoordinatorFitness fast{Locality::Local, mapTransferTime(engine, Ranks, 200)};
    const CoordinatorFitness slow{Locality::Local, mapTransferTime(engine, Ranks, 20)};
    CHECK(fast.mapTransferTime < Milliseconds(150));
    CHECK(slow.mapTransferTime > Milliseconds(500));
    const auto firstTry = [](const CoordinatorFitness &fitness) {
        auto first = SteadyTime::max();
        for (int host = 0; host < Hosts; ++host) {
            Random random(static_cast<std::uint64_t>(host));
            CoordinatorLease lease("a", "1");
            lease.observe({0, "", ""}, fitness, Start, random);
            auto at = Start;
            while (!lease.shouldAcquire(at)) {
                at += Milliseconds(10);
                REQUIRE(at < Start + LongEnough);
            }
            first = std::min(first, at);
        }
        return first;
    };
    CHECK(firstTry(fast) + Milliseconds(500) < firstTry(slow));
    // If links are fast enough for the maps of a group, the maps hardly delay its hosts.
    CHECK(firstTry({Locality::Local, mapTransferTime(engine, 8, 700)})
          < firstTry({Locality::Local}) + Milliseconds(100));
}

TEST_CASE("the lease of an unresponsive host is acquired early, once for each version")
{
    Random random(1);
    CoordinatorLease lease("a", "1");
    lease.observe({6, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
    CHECK(lease.holder() == "b");
    lease.holderLeft(Start + Seconds(1), random);
    CHECK(lease.shouldAcquire(Start + Milliseconds(1500)));
    // The holder has renewed it after all.
    lease.observe({7, "b", "1"}, CoordinatorFitness{Locality::Local}, Start + Milliseconds(1500), random);
    CHECK_FALSE(lease.shouldAcquire(Start + Seconds(2)));
    lease.acquired({0, 8}, Start + Seconds(2));
    lease.holderLeft(Start + Seconds(2), random);
    CHECK_FALSE(lease.shouldAcquire(Start + Seconds(3)));
}

TEST_CASE("a group knows the failure domains of its ranks")
{
    GroupView group;
    group.ranks.resize(2);
    group.ranks[0].failureDomain = FailureDomainId("d1");
    CHECK(group.hasRankIn(FailureDomainId("d1")));
    CHECK_FALSE(group.hasRankIn(FailureDomainId("d2")));
}

TEST_CASE("a group is broken if a rank of its epoch reports so, not if registrations expire or are outdated")
{
    GroupDirectory directory;
    directory.apply({{rankOf(0, 2), rankOf(1, 2)}, {}});
    const auto whole = directory.groups()[0];
    CHECK(whole.isComplete());
    CHECK_FALSE(whole.isBroken());
    directory.apply({{}, {rankOf(1, 2).id}});
    CHECK_FALSE(directory.groups()[0].isComplete());
    CHECK_FALSE(directory.groups()[0].isBroken());
    CHECK_FALSE(directory.groups()[0].hasSameRanks(whole));
    // The state of an earlier epoch is ignored.
    directory.apply({{rankOf(1, 1, false)}, {}});
    CHECK_FALSE(directory.groups()[0].isBroken());
    directory.apply({{rankOf(1, 2, false)}, {}});
    CHECK(directory.groups()[0].isBroken());
    CHECK(directory.groups()[0].hasSameRanks(whole));
}

TEST_CASE("a stale reading does not restore an older lease")
{
    Random random(1);
    CoordinatorLease lease("a", "1");
    lease.observe({6, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
    lease.observe({5, "c", "1"}, CoordinatorFitness{Locality::Local}, Start + Seconds(1), random);
    CHECK(lease.expectedVersion() == 6);
}

TEST_CASE("the lease of an earlier process of this host is acquired at once")
{
    Random random(1);
    CoordinatorLease lease("a", "2");
    lease.observe({5, "a", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
    CHECK(lease.shouldAcquire(Start));
}

TEST_CASE("a term is numbered by the version at which it began, regardless of renewals")
{
    Random random(1);
    CoordinatorLease lease("a", "1");
    lease.acquired({0, 9}, Start);
    CHECK_FALSE(lease.shouldRenew(Start));
    CHECK(lease.shouldRenew(Start + LongEnough));
    lease.renewed({0, 12}, Start + Seconds(2));
    CHECK(lease.term() == 9);
    CHECK(lease.expectedVersion() == 12);
    lease.lost(Start + Seconds(3), random);
    CHECK_FALSE(lease.isHeld());
    CHECK_FALSE(lease.shouldAcquire(Start + Seconds(4)));
    OrderTokens early(9);
    OrderTokens late(12);
    const auto first = late.next();
    for (int i = 0; i < 100'000; ++i) {
        REQUIRE(early.next() < first);
    }
}

TEST_CASE("a group is open only if all its ranks report so in one epoch")
{
    GroupDirectory directory;
    directory.apply({{rankOf(0, 1)}, {}});
    REQUIRE(directory.groups().size() == 1);
    CHECK_FALSE(directory.groups()[0].isOpen);
    directory.apply({{rankOf(1, 1)}, {}});
    CHECK(directory.groups()[0].isOpen);
    directory.apply({{rankOf(1, 2)}, {}});
    CHECK(directory.groups()[0].epoch == 2);
    CHECK_FALSE(directory.groups()[0].isOpen);
    directory.apply({{rankOf(0, 2)}, {}});
    CHECK(directory.groups()[0].isOpen);
    directory.apply({{rankOf(0, 2, false)}, {}});
    CHECK_FALSE(directory.groups()[0].isOpen);
}

TEST_CASE("a registration with an impossible rank or size belongs to no group")
{
    GroupDirectory directory;
    auto wrong = rankOf(5, 1);
    auto huge = rankOf(0, 1);
    huge.groupMembership->size = 4'000'000'000;
    directory.apply({{wrong, huge}, {}});
    CHECK(directory.groups().empty());
}

TEST_CASE("after an outage of the store a responsive holder gets time to renew its lease, an unresponsive one does not")
{
    const CoordinatorLeaseOptions options;
    const auto back = Start + LongEnough;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        CoordinatorLease lease("a", "1");
        lease.observe({5, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
        auto unresponsive = lease;
        unresponsive.holderLeft(back - Seconds(1), random);
        lease.storeBecameAvailable(back, random);
        unresponsive.storeBecameAvailable(back, random);
        CHECK_FALSE(lease.shouldAcquire(back + options.lifetime - Milliseconds(1)));
        CHECK(lease.shouldAcquire(back + options.lifetime + options.attemptJitter));
        CHECK(unresponsive.shouldAcquire(back));
        unresponsive.attemptFailed(back, random);
        CHECK_FALSE(unresponsive.shouldAcquire(back + Milliseconds(499)));
        CHECK(unresponsive.shouldAcquire(back + Seconds(1)));
    }
}

TEST_CASE("a lease that was given up is acquired within half a second, first by local hosts")
{
    constexpr int Hosts = 100;
    for (int host = 0; host < Hosts; ++host) {
        Random random(static_cast<std::uint64_t>(host));
        CoordinatorLease local("a", "1");
        local.observe({7, "", ""}, CoordinatorFitness{Locality::Local}, Start, random);
        REQUIRE(local.shouldAcquire(Start + Milliseconds(501)));
        CoordinatorLease remote("c", "1");
        remote.observe({7, "", ""}, CoordinatorFitness{Locality::Remote}, Start, random);
        REQUIRE_FALSE(remote.shouldAcquire(Start + Seconds(4)));
        CoordinatorLease waiting("d", "1");
        waiting.observe({7, "b", "1"}, CoordinatorFitness{Locality::Local}, Start, random);
        waiting.holderLeft(Start + Seconds(1), random);
        REQUIRE(waiting.shouldAcquire(Start + Milliseconds(1501)));
    }
}

// Guards against a lease that nobody acquires for long, because the store, restored from a copy, has an older version.
TEST_CASE("a lease that was read in a later era of the store replaces a later version of an earlier one")
{
    Random random(1);
    CoordinatorLease lease("a", "1");
    lease.observe({60, "b", "1", 1}, CoordinatorFitness{Locality::Local}, Start, random);
    lease.observe({40, "c", "1", 2}, CoordinatorFitness{Locality::Local}, Start + Seconds(1), random);
    CHECK(lease.expectedVersion() == 40);
    CHECK(lease.holder() == "c");
    // An answer that was read before the restoration.
    lease.observe({61, "b", "1", 1}, CoordinatorFitness{Locality::Local}, Start + Seconds(2), random);
    CHECK(lease.expectedVersion() == 40);
    // The copy of the next restoration does not have the lease.
    lease.observe({0, "", "", 3}, CoordinatorFitness{Locality::Local}, Start + Seconds(3), random);
    CHECK(lease.expectedVersion() == 0);
    CHECK(lease.shouldAcquire(Start + LongEnough));
}
