#include "traffic/trafficconfigurationbuilder.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

Route route(const std::string &host, const std::string &prefix, const std::string &name)
{
    Route result;
    result.name = name;
    result.hostName = host;
    result.pathPrefix = prefix;
    result.services.push_back({ServiceId("s"), 1});
    return result;
}

std::shared_ptr<const TrafficConfiguration> sample()
{
    TrafficConfigurationBuilder builder;
    builder.setVersion(3).requireKeys();
    builder.addRoute(route("a.example", "/x/", "short"));
    builder.addRoute(route("a.example", "/x/y/", "long"));
    builder.addRoute(route("b.example", "/", "root"));
    builder.addKey("k1", {OrganisationId("org"), 2});
    return builder.build();
}

std::string nameOfRoute(const TrafficConfiguration &configuration, const char *host, const char *path)
{
    const auto *found = configuration.route(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("the route is the one of the host name with the longest prefix of the path")
{
    const auto configuration = sample();
    CHECK(nameOfRoute(*configuration, "a.example", "/x/1") == "short");
    CHECK(nameOfRoute(*configuration, "a.example", "/x/y/1/2") == "long");
    CHECK(nameOfRoute(*configuration, "a.example", "/x/y") == "short");
    CHECK(nameOfRoute(*configuration, "a.example", "/x") == "");
    CHECK(nameOfRoute(*configuration, "a.example", "/z/") == "");
    CHECK(nameOfRoute(*configuration, "b.example", "/anything") == "root");
    CHECK(nameOfRoute(*configuration, "c.example", "/x/1") == "");
    CHECK(nameOfRoute(*configuration, "a.example", "") == "");
}

TEST_CASE("a key identifies the organisation that holds it, and an unknown key identifies none")
{
    const auto configuration = sample();
    REQUIRE(configuration->ownerOf("k1") != nullptr);
    CHECK(configuration->ownerOf("k1")->organisation == OrganisationId("org"));
    CHECK(configuration->ownerOf("k2") == nullptr);
    CHECK(configuration->ownerOf("") == nullptr);
    CHECK(configuration->needsKeys());
}
