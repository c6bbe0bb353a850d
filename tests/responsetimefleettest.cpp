// Guards against a gateway that compares servers by times that it never measures, or measures them for services that
// have servers in one failure domain only.

#include "support/gatewayfleet.h"

#include <functional>
#include <sstream>

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

/// A number in a line of the log.
double fieldOf(const std::string &line, const std::string &name)
{
    const auto field = " " + name + "=";
    const auto found = line.find(field);
    REQUIRE(found != std::string::npos);
    return std::stod(line.substr(found + field.size()));
}

/// Whether a line of the log that has this text fulfils the condition.
bool hasLine(const std::string &log, const std::string &text, const std::function<bool(const std::string &)> &condition)
{
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.find(text) != std::string::npos && condition(line)) {
            return true;
        }
    }
    return false;
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
    CHECK(hasLine(log, Estimate, [](const std::string &line) {
        return fieldOf(line, "service_ms") > 0 && fieldOf(line, "round_trip_ms") > 0 && fieldOf(line, "samples") > 0;
    }));
    CHECK(hasLine(log, "event=routed ", [](const std::string &line) { return fieldOf(line, "expected_ms") > 0; }));
    CHECK(fleet.metrics(0).find("cardamomhill_choices_by_estimate_total") != std::string::npos);
}
