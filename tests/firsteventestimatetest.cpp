#include "traffic/firsteventestimate.h"
#include "platform/store.h"
#include "support/promptcalls.h"
#include "traffic/trafficconfiguration.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

std::shared_ptr<const TrafficConfiguration> configured(const nlohmann::json &affinity, const nlohmann::json &pairs)
{
    nlohmann::json route{{"hostname", "h"}, {"path-prefix", "/"}, {"route-type", "streaming"}, {"service", "s"}};
    if (!affinity.is_null()) {
        route["session-affinity"] = affinity;
    }
    const nlohmann::json value{{"version", 1},
                               {"routes", {route}},
                               {"services", {{{"name", "s"}, {"engine", {{"slots", 10}, {"pairs_per_m", pairs}}}}}}};
    PlatformObject object;
    object.key = {"config", "main"};
    object.value = value.dump();
    return Platform::Store().parseConfiguration(object).value();
}

} // namespace

TEST_CASE("the time to a first event consists of the wait, the reading and the steps")
{
    auto profile = promptEngine();
    profile.stepMsPerThousandTokens = 0;
    const auto estimate = firstEventEstimateFor(profile).value();
    // Steps of 6 tokens: 6 x (5.85 + 0.426) ms with one call, 6 x (5.85 + 4.26) ms with ten.
    CHECK(estimate.waitMs(0.1) == doctest::Approx(1.5 * 37.656));
    CHECK(estimate.waitMs(1) == doctest::Approx(1.5 * 60.66));
    // An answer takes 23 such steps, so one of ten slots becomes free every 139.5 ms.
    CHECK(estimate.waitMs(1.2) == doctest::Approx(1.5 * 60.66 + 2 * 139.518));
    CHECK(estimate.readMs(4000, 0) == doctest::Approx(65.36).epsilon(0.001));
    CHECK(estimate.readMs(787, 40) == doctest::Approx(747 / 61.2));
    CHECK(estimate.readMs(787, 1000) == 0);
    CHECK(estimate.milliseconds(0.1, 787, 40) == estimate.waitMs(0.1) + estimate.readMs(787, 40));
}

TEST_CASE("pairs of tokens make long prompts slower to read, and the beginning the least so")
{
    auto profile = promptEngine();
    profile.prefillMsPerMillionPairs = 2;
    const auto estimate = firstEventEstimateFor(profile).value();
    CHECK(estimate.readMs(4000, 0) == doctest::Approx(4000 / 61.2 + 16));
    CHECK(estimate.readMs(4000, 2000) == doctest::Approx(2000 / 61.2 + 12));
}

TEST_CASE("the expected time never decreases with the load, also for huge prompts")
{
    const auto estimate = firstEventEstimateFor(promptEngine()).value();
    for (const auto tokens : {std::uint64_t{0}, std::uint64_t{960}, std::numeric_limits<std::uint64_t>::max()}) {
        double last = 0;
        for (double load = 0; load < 3; load = std::nextafter(load, 4) + 0.0007) {
            const auto time = estimate.milliseconds(load, tokens, 0);
            CHECK(std::isfinite(time));
            CHECK(time >= last);
            last = time;
        }
    }
}

TEST_CASE("nothing is estimated without session affinity or with an incomplete profile")
{
    Route route;
    CHECK_FALSE(promptReuseFor(route, promptEngine(), CallHead()).has_value());
    route.hasSessionAffinity = true;
    CHECK(promptReuseFor(route, promptEngine(), CallHead())->prompt.tokens == 787);
    const std::vector<std::function<void(EngineProfile &)>> gaps{
        [](auto &engine) { engine.slots = 0; },
        [](auto &engine) { engine.stepMs = 0; },
        [](auto &engine) { engine.stepMsPerRequest = 0; },
        [](auto &engine) { engine.tokensPerStep = 0; },
        [](auto &engine) { engine.prefillTokensPerSecond = 0; },
        [](auto &engine) { engine.kvCacheTokens = 0; },
        [](auto &engine) { engine.meanPromptTokens = 0; },
        [](auto &engine) { engine.meanAnswerTokens = 0; }};
    for (const auto &makeGap : gaps) {
        auto engine = promptEngine();
        makeGap(engine);
        CHECK_FALSE(promptReuseFor(route, engine, CallHead()).has_value());
    }
}

TEST_CASE("session affinity and the cost of pairs come from the configuration, whatever kind of affinity it names")
{
    const auto hasAffinity
        = [](const nlohmann::json &value) { return configured(value, 0)->route("h", "/")->hasSessionAffinity; };
    CHECK(hasAffinity(true));
    CHECK(hasAffinity("prefix"));
    CHECK(hasAffinity({{"header", "x"}}));
    CHECK_FALSE(hasAffinity(false));
    CHECK_FALSE(hasAffinity(nullptr));
    CHECK_FALSE(hasAffinity("none"));
    CHECK_FALSE(hasAffinity(""));
    CHECK(configured(true, 1.25)->service(ServiceId("s"))->engine->prefillMsPerMillionPairs == 1.25);
}
