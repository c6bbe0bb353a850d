#include "gateway/gatewaycontrol.h"

#include "control/controladdress.h"
#include "control/storerelay.h"
#include "gateway/gatewaysettings.h"
#include "metrics/metricsregistry.h"
#include "objectstore/storeavailability.h"
#include "platform/store.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

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

GatewaySettings evacuatingSettings(const tcp::endpoint &store, const std::string &host = "gate-a")
{
    auto settings = settingsFor(store);
    settings.host = HostId(host);
    settings.evacuationLimit = Milliseconds(5000);
    return settings;
}

/// The part of a gateway that follows the store.
struct Gateway {
    explicit Gateway(asio::io_context &context, const tcp::endpoint &store)
        : Gateway(context, settingsFor(store))
    {
    }

    Gateway(asio::io_context &context, const GatewaySettings &settings)
        : relay(context)
        , control(context,
                  settings,
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
                   },
                   [this](const EvacuatedDomains &evacuated) {
                       domains.clear();
                       for (const auto &domain : evacuated.domains) {
                           domains.insert(domain.value());
                       }
                       ++evacuationChanges;
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
    std::set<std::string> domains;
    int evacuationChanges = 0;
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

// Guards against hosts that drop servers whose registrations a restored store lost, until they register again.
TEST_CASE("a server that a restored store lacks stays in use until its time to register again is over")
{
    Site site;
    site.store.put("config", "main", configuration(1));
    std::set<std::string> kept{"a", "b", "c", "d", "e"};
    for (const auto &name : kept) {
        site.store.put("servers", name, registration());
    }
    site.store.saveCopy();
    site.store.put("servers", "back", registration());
    site.store.put("servers", "gone", registration());
    Gateway gateway(site.context, site.endpoint);
    site.context.run_for(SettlingTime);
    REQUIRE(gateway.servers.size() == kept.size() + 2);
    site.store.restoreCopy(true);
    site.context.run_for(SettlingTime);
    CHECK(gateway.servers.size() == kept.size() + 2);
    site.store.put("servers", "back", registration());
    site.context.run_for(Milliseconds(3000));
    kept.insert("back");
    CHECK(gateway.servers == kept);
}

TEST_CASE("evacuations cause no requests without a limit for them, and a host is ready only after their first list")
{
    constexpr Milliseconds FirstLists{300};
    Site site;
    site.store.put("config", "main", configuration(1));
    site.store.put("servers", "a", registration());
    site.store.put("evacuations", "d2", nlohmann::json::object());
    Gateway unaware(site.context, site.endpoint);
    site.context.run_for(FirstLists);
    CHECK(site.store.callCount() == 2);
    CHECK(unaware.control.isReady());
    CHECK(unaware.evacuationChanges == 0);

    // Only the new kind cannot be listed.
    site.store.setPageText("evacuations", R"({"items":[)");
    Gateway gateway(site.context, evacuatingSettings(site.endpoint));
    site.context.run_for(FirstLists);
    CHECK(gateway.servers.size() == 1);
    CHECK_FALSE(gateway.control.isReady());
    CHECK(gateway.evacuationChanges == 0);
    site.store.setPageText("evacuations", "");
    site.context.run_for(SettlingTime);
    CHECK(gateway.control.isReady());
    CHECK(gateway.domains == std::set<std::string>{"d2"});
    CHECK(gateway.evacuationChanges == 1);
}

TEST_CASE("a host learns of evacuations whatever their objects' values are")
{
    Site site;
    site.store.putRaw("evacuations", "d1", R"({"since":)");
    site.store.putRawItem("evacuations", "nameless", R"({"metadata":7})");
    Gateway gateway(site.context, evacuatingSettings(site.endpoint));
    site.context.run_for(SettlingTime);
    CHECK(gateway.domains == std::set<std::string>{"d1"});
    CHECK(gateway.metrics.counter("objects_unreadable_total").value() == 1);
    for (const auto &odd : {std::string("1e999"), std::string("\"\xff\""), std::string("null")}) {
        site.store.putRaw("evacuations", "d2", odd);
        site.context.run_for(SettlingTime);
        CHECK(gateway.domains == std::set<std::string>{"d1", "d2"});
        site.store.remove("evacuations", "d2");
        site.context.run_for(SettlingTime);
        CHECK(gateway.domains == std::set<std::string>{"d1"});
    }
}

TEST_CASE("while the store is away the last known evacuations apply, and later those that it states then")
{
    Site site;
    site.store.put("evacuations", "d1", nlohmann::json::object());
    Gateway gateway(site.context, evacuatingSettings(site.endpoint));
    site.context.run_for(SettlingTime);
    site.store.setDown(true);
    site.store.remove("evacuations", "d1");
    site.store.put("evacuations", "d2", nlohmann::json::object());
    site.context.run_for(SettlingTime);
    CHECK(gateway.domains == std::set<std::string>{"d1"});
    CHECK(gateway.metrics.gauge("evacuations_current").value() == 0);
    site.store.setDown(false);
    site.context.run_for(Milliseconds(2100));
    CHECK(gateway.domains == std::set<std::string>{"d2"});
    CHECK(gateway.metrics.gauge("evacuations_current").value() == 1);
}

TEST_CASE("an evacuation whose watch is lost or whose history was dropped is known within the limit")
{
    Site site;
    Gateway gateway(site.context, evacuatingSettings(site.endpoint));
    site.context.run_for(SettlingTime);
    SUBCASE("the answers to the watch and to the one that checks it are lost")
    {
        site.store.loseNextChanges("evacuations", 2);
        site.store.put("evacuations", "d1", nlohmann::json::object());
    }
    SUBCASE("the store accepts a watch that it never answers")
    {
        site.store.loseNextWatch("evacuations");
        site.store.put("evacuations", "d2", nlohmann::json::object());
        site.context.run_for(SettlingTime);
        site.store.remove("evacuations", "d2");
        site.store.put("evacuations", "d1", nlohmann::json::object());
    }
    SUBCASE("the store has dropped its history")
    {
        site.store.setMute(true);
        site.store.put("evacuations", "d1", nlohmann::json::object());
        site.store.dropHistory();
        site.store.setMute(false);
    }
    site.context.run_for(*evacuatingSettings(site.endpoint).evacuationLimit);
    CHECK(gateway.domains == std::set<std::string>{"d1"});
}

TEST_CASE("hosts of a large failure domain learn of evacuations through relays")
{
    constexpr int HostCount = 9;
    Site site;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<RelayHost> hosts;
    for (int number = 0; number < HostCount; ++number) {
        const auto name = "gate-" + std::to_string(number);
        const auto address = freeEndpoint(site.context);
        gateways.push_back(std::make_unique<Gateway>(site.context, evacuatingSettings(site.endpoint, name)));
        REQUIRE(gateways.back()->relay.listen(address).has_value());
        hosts.push_back({name, controlAddress(address).value()});
    }
    for (int number = 0; number < HostCount; ++number) {
        auto others = hosts;
        others.erase(others.begin() + number);
        gateways[number]->control.setFailureDomainHosts(others);
    }
    const auto allKnow = [&](const std::set<std::string> &domains) {
        return std::all_of(
            gateways.begin(), gateways.end(), [&](const auto &gateway) { return gateway->domains == domains; });
    };
    site.context.run_for(SettlingTime);
    const auto isRelayed = [](const auto &gateway) { return gateway->control.role() == StoreRole::Relayed; };
    REQUIRE(std::count_if(gateways.begin(), gateways.end(), isRelayed) == HostCount - 2);
    // Hosts that became relayed end their own watches at the first change.
    site.store.put("evacuations", "d2", nlohmann::json::object());
    site.context.run_for(SettlingTime);
    CHECK(allKnow({"d2"}));
    site.store.put("evacuations", "d1", nlohmann::json::object());
    site.store.remove("evacuations", "d2");
    const auto before = site.store.callCount();
    site.context.run_for(SettlingTime);
    CHECK(allKnow({"d1"}));
    CHECK(site.store.callCount() - before < HostCount * 3);
    // Losing the store, and with it the relays, changes nothing.
    site.store.setDown(true);
    site.context.run_for(SettlingTime);
    CHECK(allKnow({"d1"}));
    site.store.remove("evacuations", "d1");
    site.store.setDown(false);
    site.context.run_for(*evacuatingSettings(site.endpoint).evacuationLimit);
    CHECK(allKnow({}));
}
