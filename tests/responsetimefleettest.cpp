// Guards against a gateway that compares servers by times that it never measures, or measures them for services that
// have servers in one failure domain only.

#include "support/gatewayfleet.h"

#include <regex>

using namespace Cardamomhill;

namespace
{

constexpr int Calls = 40;
const std::string Estimate = "event=server-estimate service=shop";

Task<> callOften(GatewayFleet &fleet)
{
    for (int i = 0; i < Calls; ++i) {
        const auto result = co_await fleet.call(0, GatewayFleet::makeCall("/safe/ok", "call-" + std::to_string(i)));
        CHECK(result.status == 200);
    }
}

void registerIn(GatewayFleet &fleet, const std::string &id, const std::string &domain)
{
    const auto address = controlAddress(fleet.server(id).endpoint()).value();
    auto document = nlohmann::json::parse(serverDocument({id, address, 2, false}));
    document["zone"] = domain;
    fleet.store.put("servers", id, document);
}

} // namespace

TEST_CASE("a gateway measures the service times of plain servers and the latency to their domains")
{
    GatewayFleet fleet(1, {"near", "far"});
    fleet.run(callOften(fleet));
    CHECK(fleet.log(0).find("expected_ms=0.000000") != std::string::npos);
    CHECK(fleet.metrics(0).find("choices_by_estimate_total") == std::string::npos);

    registerIn(fleet, "far", "d2");
    fleet.run(fleet.waitForLog(0,
                               "server=far service=shop address="
                                   + controlAddress(fleet.server("far").endpoint()).value() + " failure_domain=d2"));
    fleet.run(callOften(fleet));
    fleet.run(fleet.waitForLog(0, Estimate));
    const auto log = fleet.log(0);
    const std::regex measured(
        Estimate
        + " server=\\w+ failure_domain=\\w+ service_ms=(?!0\\.0+ )\\S+ round_trip_ms=(?!0\\.0+ )\\S+ "
          "calls=\\S+ expected_ms=\\S+ samples=[1-9]");
    CHECK(std::regex_search(log, measured));
    CHECK(std::regex_search(log, std::regex("event=routed .* expected_ms=(?!0\\.0+ )")));
    CHECK(fleet.metrics(0).find("cardamomhill_choices_by_estimate_total") != std::string::npos);
}
