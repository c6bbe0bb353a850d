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

} // namespace

TEST_CASE("a server whose registration is removed gets no further calls")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b")}, Start);
    CHECK(registry.takeChanges().present.size() == 2);
    registry.remove(BackendServerId("a"), Start + Seconds(1));
    CHECK(registry.takeChanges().gone == std::vector{BackendServerId("a")});
    CHECK(registry.takeChanges().isEmpty());
}

TEST_CASE("a registration that lapsed while the store was away may come back for a while")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b")}, Start);
    registry.takeChanges();
    registry.contactLost();
    registry.contactRegained(Start + Seconds(10));
    registry.replaceAll({server("b")}, Start + Seconds(10));
    registry.tick(Start + Seconds(11));
    CHECK(registry.takeChanges().isEmpty());
    SUBCASE("back in time")
    {
        registry.put(server("a"));
        registry.tick(Start + Seconds(20));
        CHECK(registry.takeChanges().isEmpty());
    }
    SUBCASE("never back")
    {
        registry.tick(Start + Seconds(13));
        CHECK(registry.takeChanges().gone == std::vector{BackendServerId("a")});
    }
}

TEST_CASE("after a time without contact a server that is missing among many others has left")
{
    ServerRegistry registry;
    registry.replaceAll({server("a"), server("b"), server("c")}, Start);
    registry.takeChanges();
    registry.contactLost();
    registry.contactRegained(Start + Seconds(10));
    // It may have said that it leaves while this host was turned away.
    registry.replaceAll({server("b"), server("c")}, Start + Seconds(10));
    CHECK(registry.takeChanges().gone == std::vector{BackendServerId("a")});
}

TEST_CASE("a server that said that it leaves is not waited for after an outage")
{
    ServerRegistry registry;
    registry.replaceAll({server("a", true)}, Start);
    registry.takeChanges();
    registry.contactLost();
    registry.contactRegained(Start + Seconds(10));
    registry.replaceAll({}, Start + Seconds(10));
    CHECK(registry.takeChanges().gone == std::vector{BackendServerId("a")});
}

TEST_CASE("a server that comes back before its removal was taken is present")
{
    ServerRegistry registry;
    registry.put(server("a"));
    registry.remove(BackendServerId("a"), Start);
    registry.put(server("a"));
    const auto changes = registry.takeChanges();
    CHECK(changes.gone.empty());
    CHECK_FALSE(changes.present.empty());
}
