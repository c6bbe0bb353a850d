// Guards against a group of engines that stays stopped because the process that holds its next pass has ended.

#include "standins/enginegroup.h"
#include "support/gatewayfleet.h"

using namespace Cardamomhill;

TEST_CASE("a process that stops while it holds a pass of a group releases it before it ends")
{
    constexpr Milliseconds MaxHold{250};
    constexpr Milliseconds Calm{2500};
    GatewayFleet fleet(1, {"plain"}, "coordinate_groups: true\ntermination_grace_s: 8\ndrain_grace_ms: 100\n");
    EngineGroupOptions options;
    options.name = "group";
    options.service = "model";
    // The pass that is held is further ahead than the process has connections to wait for.
    options.maxAnswerDelay = Milliseconds(300);
    EngineGroup group(fleet.context(), options, {[](const auto &) {}, [](const auto &) {}, [](const auto &) {}});
    REQUIRE(group.start(fleet.store).has_value());
    fleet.configure(
        [](nlohmann::json &document) { document["services"].push_back(EngineGroup::serviceDocument("model")); });
    fleet.run(fleet.waitForLog(0, "phase=holding"));
    fleet.terminate(0);
    fleet.run(fleet.waitForEnd(0));
    CHECK(fleet.log(0).find("event=coordinator-lease-released") != std::string::npos);
    const auto passes = group.passCount();
    fleet.run(fleet.sleep(Calm));
    CHECK(group.passCount() > passes + Calm / options.passTime / 2);
    CHECK(group.longestHold() <= MaxHold);
}
