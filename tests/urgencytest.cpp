#include "traffic/groupadmission.h"
#include "traffic/trafficconfigurationbuilder.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const ServiceId Service("engines");

Route route(std::uint32_t priority)
{
    Route result;
    result.hostName = "a.example";
    result.pathPrefix = "/" + std::to_string(priority) + "/";
    result.priority = priority;
    result.services.push_back({Service, 1});
    return result;
}

std::shared_ptr<const TrafficConfiguration> configuration(const std::vector<std::uint32_t> &routePriorities)
{
    TrafficConfigurationBuilder builder;
    for (const auto priority : routePriorities) {
        builder.addRoute(route(priority));
    }
    builder.addKey("first", {OrganisationId("first"), 0});
    builder.addKey("second", {OrganisationId("second"), 1});
    return builder.build();
}

} // namespace

TEST_CASE("calls to a service whose routes are equally urgent have no urgency")
{
    const auto equal = configuration({1, 1});
    CHECK_FALSE(equal->urgency(Service, route(1), equal->ownerOf("first")).has_value());
}

TEST_CASE("a more urgent organisation goes first, then the more urgent route")
{
    const auto current = configuration({0, 1, 2});
    const auto urgencyOf = [&current](const char *key, std::uint32_t priority) {
        return current->urgency(Service, route(priority), current->ownerOf(key)).value();
    };
    CHECK(urgencyOf("first", 2) < urgencyOf("second", 0));
    CHECK(urgencyOf("second", 0) < urgencyOf("second", 1));
    CHECK(urgencyOf("second", 1) < urgencyOf("second", 2));
    CHECK(urgencyOf("second", 2) < current->urgency(Service, route(0), nullptr).value());
}

TEST_CASE("less urgent calls leave more room, and the most urgent may take every slot")
{
    const auto current = configuration({0, 1, 2});
    const auto streams = [&current](const char *key, std::uint32_t priority) {
        const GroupAdmission admission{
            current->urgency(Service, route(priority), current->ownerOf(key)).value(), false, {}};
        return admission.streamsPerEngine(5, 10);
    };
    CHECK(streams("second", 0) == 10);
    CHECK(streams("second", 1) < 10);
    CHECK(streams("second", 2) < streams("second", 1));
    CHECK(streams("first", 2) == streams("second", 1));
}

TEST_CASE("a call that was sent before is not refused for want of room")
{
    GroupAdmission admission{{0, 2, 0}, true, {}};
    CHECK(admission.streamsPerEngine(5, 10) == 10);
}
