#include "traffic/serverregistry.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};

DiscoveredServer server(const std::string &id, bool isLeaving = false)
{
    DiscoveredServer result;
    result.id = BackendServerId(id);
    result.service = ServiceId("s");
    result.address = "127.0.0.1:1";
    result.isLeaving = isLeaving;
    return result;
}

/// Checks that server a, whose grace period ends by a given time, stays in use only if it registers again.
void checkExpiry(ServerRegistry &registry, SteadyTime end)
{
    SUBCASE("registers again in time")
    {
        registry.put(server("a"));
        registry.removeExpired(end + Seconds(10));
        CHECK(registry.takeChanges().isEmpty());
    }
    SUBCASE("does not register again")
    {
        registry.removeExpired(end);
        CHECK(registry.takeChanges().removed == std::vector{BackendServerId("a")});
    }
}

} // namespace

TEST_CASE("a server whose registration is removed is gone at once")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b")}, Start);
    CHECK(registry.takeChanges().updated.size() == 2);
    registry.remove(BackendServerId("a"), Start + Seconds(1));
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("a")});
    CHECK(registry.takeChanges().isEmpty());
}

TEST_CASE("a server whose registration lapsed during an outage is kept for a grace period")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b")}, Start);
    registry.takeChanges();
    registry.onStoreUnavailable();
    registry.onStoreAvailable(Start + Seconds(10));
    registry.replaceAll({server("b")}, Start + Seconds(10));
    registry.removeExpired(Start + Seconds(11));
    CHECK(registry.takeChanges().isEmpty());
    checkExpiry(registry, Start + Seconds(13));
}

// Guards against servers that are out of use until they register again, because a restored store lost that they had.
TEST_CASE("servers that a restored store lacks are kept for a grace period, however few they are")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b"), server("c"), server("d", true)}, Start);
    registry.takeChanges();
    registry.replaceAllAfterRestoration({server("b"), server("c")}, Start + Seconds(1));
    // It had announced its shutdown.
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("d")});
    // The operator removes it again, which is no loss.
    registry.remove(BackendServerId("c"), Start + Seconds(2));
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("c")});
    registry.removeExpired(Start + Seconds(3));
    CHECK(registry.takeChanges().isEmpty());
    checkExpiry(registry, Start + Seconds(4));
}

TEST_CASE("a single server that is missing after an outage is gone")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b"), server("c")}, Start);
    registry.takeChanges();
    registry.onStoreUnavailable();
    registry.onStoreAvailable(Start + Seconds(10));
    // Most registrations did not lapse, so the server may have shut down while only this host had lost contact.
    registry.replaceAll({server("b"), server("c")}, Start + Seconds(10));
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("a")});
}

TEST_CASE("a server that was shutting down gets no grace period after an outage")
{
    ServerRegistry registry;
    registry.replaceAll({server("a", true)}, Start);
    registry.takeChanges();
    registry.onStoreUnavailable();
    registry.onStoreAvailable(Start + Seconds(10));
    registry.replaceAll({}, Start + Seconds(10));
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("a")});
}

TEST_CASE("a server that is added again before its removal was read is present")
{
    ServerRegistry registry;
    registry.put(server("a"));
    registry.remove(BackendServerId("a"), Start);
    registry.put(server("a"));
    const auto changes = registry.takeChanges();
    CHECK(changes.removed.empty());
    CHECK_FALSE(changes.updated.empty());
}

TEST_CASE("a server whose registration is rejected is gone at once, also in the grace period after an outage")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b")}, Start);
    registry.takeChanges();
    registry.onStoreUnavailable();
    registry.onStoreAvailable(Start + Seconds(10));
    registry.reject(BackendServerId("a"));
    CHECK(registry.takeChanges().removed == std::vector{BackendServerId("a")});
    registry.reject(BackendServerId("a"));
    registry.reject(BackendServerId("unknown"));
    CHECK(registry.takeChanges().isEmpty());
}
