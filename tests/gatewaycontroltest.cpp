#include "gateway/gatewaycontrol.h"

#include "control/storerelay.h"
#include "gateway/gatewaysettings.h"
#include "metrics/metricsregistry.h"
#include "objectstore/storeavailability.h"
#include "platform/store.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds SettlingTime{1500};

nlohmann::json registration()
{
    return {
        {"service", "shop"}, {"address", "127.0.0.1:9"}, {"zone", "d1"}, {"slots", 4}, {"state", "ready"}, {"born", 1}};
}

GatewaySettings settingsFor(const tcp::endpoint &store)
{
    GatewaySettings settings;
    settings.host = HostId("gate-a");
    settings.platform = store;
    return settings;
}

/// The part of a gateway that follows the store.
struct Gateway {
    explicit Gateway(asio::io_context &context, const tcp::endpoint &store)
        : relay(context)
        , control(context,
                  settingsFor(store),
                  codec,
                  metrics,
                  availability,
                  relay,
                  {[this](const auto &configuration) { version = configuration->version(); },
                   [this](const ServerChanges &changes) {
                       for (const auto &server : changes.updated) {
                           servers.insert(server.id.value());
                       }
                       for (const auto &id : changes.removed) {
                           servers.erase(id.value());
                       }
                   }})
    {
        control.start();
    }

    Platform::Store codec;
    MetricsRegistry metrics;
    StoreAvailability availability;
    StoreRelay relay;
    std::uint64_t version = 0;
    std::set<std::string> servers;
    GatewayControl control;
};

struct Site {
    Site()
        : store(context)
        , endpoint(freeEndpoint(context))
    {
        REQUIRE(store.listen(endpoint).has_value());
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint endpoint;
};

nlohmann::json configuration(int version)
{
    return {{"version", version}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}};
}

} // namespace

TEST_CASE(
    "a known server whose registration becomes one that names no server is not used, for a list and a watch alike")
{
    Site site;
    for (const auto *name : {"a", "b", "c"}) {
        site.store.put("servers", name, registration());
    }
    Gateway gateway(site.context, site.endpoint);
    site.context.run_for(SettlingTime);
    REQUIRE(gateway.servers == std::set<std::string>{"a", "b", "c"});

    site.store.putRaw("servers", "a", R"({"service":"sh)");
    site.context.run_for(SettlingTime);
    CHECK(gateway.servers == std::set<std::string>{"b", "c"});

    // A list after an outage, when registrations that are missing may only have lapsed.
    site.store.setDown(true);
    site.context.run_for(SettlingTime);
    site.store.putRaw("servers", "b", "1e999");
    auto unknownState = registration();
    unknownState["state"] = "asleep";
    site.store.put("servers", "c", unknownState);
    site.store.put("servers", "d", registration());
    site.store.setDown(false);
    site.context.run_for(Milliseconds(2100));
    CHECK(gateway.servers == std::set<std::string>{"d"});

    site.store.put("servers", "a", registration());
    site.context.run_for(SettlingTime);
    CHECK(gateway.servers == std::set<std::string>{"a", "d"});
}

TEST_CASE("an object of the configuration's kind that cannot be read does not end the following of the kind")
{
    Site site;
    site.store.put("config", "main", configuration(1));
    Gateway gateway(site.context, site.endpoint);
    site.context.run_for(SettlingTime);
    CHECK(gateway.version == 1);
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    int version = 1;
    for (const auto &odd : {deep, std::string("1e999"), std::string("\"\xff\""), std::string(R"({"version":)")}) {
        site.store.putRaw("config", "other", odd);
        site.store.putRaw("config", "main", odd);
        site.context.run_for(SettlingTime);
        CHECK(gateway.version == version);
        site.store.put("config", "main", configuration(++version));
        site.context.run_for(SettlingTime);
        CHECK(gateway.version == version);
    }
}

TEST_CASE("an item without a readable name is counted, and the others are followed")
{
    Site site;
    site.store.putRawItem("servers", "nameless", R"({"metadata":7})");
    site.store.put("servers", "a", registration());
    Gateway gateway(site.context, site.endpoint);
    site.context.run_for(SettlingTime);
    CHECK(gateway.servers == std::set<std::string>{"a"});
    CHECK(gateway.metrics.counter("objects_unreadable_total").value() == 1);
    site.store.put("servers", "b", registration());
    site.context.run_for(SettlingTime);
    CHECK(gateway.servers == std::set<std::string>{"a", "b"});
}

TEST_CASE("pages of one kind that cannot be read are requested ever less often, and the other kind is followed")
{
    Site site;
    site.store.put("config", "main", configuration(1));
    site.store.put("servers", "a", registration());
    Gateway gateway(site.context, site.endpoint);
    site.context.run_for(SettlingTime);
    REQUIRE(gateway.servers.size() == 1);
    site.store.setPageText("servers", R"({"items":[)");
    const auto before = site.store.callCount();
    site.context.run_for(Seconds(8));
    // Among them a few of the kind that is followed.
    CHECK(site.store.callCount() - before >= 3);
    CHECK(site.store.callCount() - before <= 12);
    CHECK(gateway.servers.size() == 1);
    site.store.put("config", "main", configuration(2));
    site.context.run_for(SettlingTime);
    CHECK(gateway.version == 2);
    site.store.setPageText("servers", "");
    site.store.put("servers", "b", registration());
    site.context.run_for(Seconds(6));
    CHECK(gateway.servers.size() == 2);
}
