#include "coordinator/groupcoordinatormanager.h"
#include "control/controladdress.h"

#include "metrics/metricsregistry.h"
#include "objectstore/storeavailability.h"
#include "platform/engine.h"
#include "platform/objectapi.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"
#include "traffic/serverchanges.h"
#include "traffic/trafficconfigurationbuilder.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr std::uint32_t Ranks = 2;
const std::string LeaseKind = "groupcoordinators";
const std::string Group = "g";
const FailureDomainId Domain("zona-centro");

std::shared_ptr<const TrafficConfiguration> configuration()
{
    EngineProfile engine;
    engine.slots = 6;
    engine.expertLayers = 1;
    engine.expertsPerLayer = Ranks;
    TrafficConfigurationBuilder builder;
    builder.setVersion(1).addService({ServiceId("chat"), 0, engine});
    return builder.build();
}

ServerChanges ranks(const tcp::endpoint &endpoint)
{
    ServerChanges changes;
    for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
        DiscoveredServer server;
        server.id = BackendServerId("r" + std::to_string(rank));
        server.service = ServiceId("chat");
        server.failureDomain = Domain;
        server.address = controlAddress(endpoint).value();
        server.groupMembership = GroupMembership{GroupId(Group), 1, rank, Ranks, true};
        changes.updated.push_back(server);
    }
    return changes;
}

/// Entry host host-a, which may coordinate a group whose lease host-b holds.
struct Host {
    Host()
        : store(context)
        , storeEndpoint(freeEndpoint(context))
        , manager(context,
                  storeEndpoint,
                  std::make_shared<Platform::ObjectApi>(),
                  codec,
                  metrics,
                  {"host-a", Domain, 100},
                  availability,
                  {[](const SlowdownFactors &) {}, [this](const GroupNotice &notice) { notices.push_back(notice); }})
    {
        REQUIRE(store.listen(storeEndpoint).has_value());
        renew();
        manager.apply(configuration());
        // Nothing listens at this address: these tests need no reachable ranks.
        manager.applyServers(ranks({asio::ip::address_v4::loopback(), 1}));
        manager.start();
    }

    /// Renews the lease in place of its holder.
    void renew()
    {
        store.put(LeaseKind, Group, {{"host", "host-b"}, {"incarnation", "1"}, {"renewal", ++renewals}});
    }

    std::string holder()
    {
        return store.object(LeaseKind, Group)["spec"]["host"].get<std::string>();
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint storeEndpoint;
    const Platform::Engine codec;
    MetricsRegistry metrics;
    StoreAvailability availability;
    int renewals = 0;
    std::vector<GroupNotice> notices;
    GroupCoordinatorManager manager;
};

} // namespace

TEST_CASE("an unavailable store is probed, instead of reading the lease from it in every round")
{
    Host host;
    host.context.run_for(Milliseconds(600));
    host.store.setDown(true);
    host.manager.setUnresponsiveHosts({"host-b"});
    const auto before = host.store.callCount();
    host.context.run_for(Seconds(3));
    // Probes are 0.1 to 1.9 s apart.
    CHECK(host.store.callCount() - before >= 1);
    CHECK(host.store.callCount() - before <= 5);
    host.store.setDown(false);
    host.context.run_for(Milliseconds(3500));
    CHECK(host.holder() == "host-a");
}

TEST_CASE("a holder keeps a lease that it could not renew while the store was unavailable")
{
    Host host;
    host.context.run_for(Milliseconds(600));
    host.store.setDown(true);
    // Longer than the lifetime of a lease and the random delay of an attempt together.
    host.context.run_for(Seconds(9));
    host.store.setDown(false);
    host.context.run_for(Milliseconds(1500));
    CHECK(host.holder() == "host-b");
    host.renew();
    host.context.run_for(Seconds(3));
    CHECK(host.holder() == "host-b");
}

TEST_CASE("a host that stops gives up its lease at once and tells the others")
{
    Host host;
    host.context.run_for(Milliseconds(600));
    host.manager.setUnresponsiveHosts({"host-b"});
    host.context.run_for(Seconds(2));
    REQUIRE(host.holder() == "host-a");
    host.manager.stop();
    host.context.run_for(Milliseconds(500));
    CHECK(host.holder().empty());
    REQUIRE_FALSE(host.notices.empty());
    CHECK(host.notices.back().event == GroupEvent::CoordinatorLeft);
    CHECK(host.notices.back().group == Group);
    CHECK(host.notices.back().host == "host-a");
}

TEST_CASE("the lease of a holder that stops is acquired at once, that of another holder is not")
{
    Host host;
    host.context.run_for(Milliseconds(600));
    GroupNotice notice;
    notice.event = GroupEvent::CoordinatorLeft;
    notice.group = Group;
    notice.host = "host-c";
    host.manager.onGroupNotice(notice);
    host.context.run_for(Milliseconds(1200));
    CHECK(host.holder() == "host-b");
    notice.host = "host-b";
    host.manager.onGroupNotice(notice);
    host.context.run_for(Milliseconds(1200));
    CHECK(host.holder() == "host-a");
}

TEST_CASE("a lease whose fields have other types, left by another writer, does not end the coordination")
{
    Host host;
    host.store.put(LeaseKind, Group, {{"host", 7}, {"incarnation", nlohmann::json::array()}});
    // A lease that is not renewed is acquired after some seconds.
    host.context.run_for(Seconds(13));
    CHECK(host.holder() == "host-a");
}

// Guards against a group without a coordinator while the restored store's revision is below that of the lost lease.
TEST_CASE("a lease is acquired after the store was restored from a copy with an older version of it, or without it")
{
    for (const bool hasLease : {true, false}) {
        CAPTURE(hasLease);
        Host host;
        if (!hasLease) {
            host.store.remove(LeaseKind, Group);
        }
        host.store.saveCopy();
        for (int renewal = 0; renewal < 50; ++renewal) {
            host.renew();
        }
        host.context.run_for(Milliseconds(600));
        host.store.restoreCopy(true);
        host.context.run_for(Milliseconds(2500));
        host.manager.setUnresponsiveHosts({"host-b"});
        host.context.run_for(Seconds(9));
        CHECK(host.store.has(LeaseKind, Group));
        CHECK(host.holder() == "host-a");
    }
}

// Guards against a holder whose renewals fail for good because the restored store does not have its lease.
TEST_CASE("a holder writes its lease again after the store was restored from a copy without it")
{
    Host host;
    host.store.remove(LeaseKind, Group);
    host.store.saveCopy();
    host.renew();
    host.manager.setUnresponsiveHosts({"host-b"});
    // The coordinator gives up after three seconds, since its ranks are unreachable, and renews its lease before that.
    for (int step = 0; step < 60 && host.holder() != "host-a"; ++step) {
        host.context.run_for(Milliseconds(50));
    }
    REQUIRE(host.holder() == "host-a");
    host.store.restoreCopy(true);
    host.context.run_for(Milliseconds(2500));
    REQUIRE(host.store.has(LeaseKind, Group));
    CHECK(host.holder() == "host-a");
}
