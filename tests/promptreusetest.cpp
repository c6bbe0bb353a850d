#include "support/gatewayfleet.h"

#include <sstream>

using namespace Cardamomhill;

namespace
{

/// A gateway and engines on loopback; callers share the beginnings of their prompts.
class EngineFleet
{
public:
    EngineFleet()
        : fleet(1, {"s0", "s1", "s2", "s3"})
    {
        fleet.configure([](nlohmann::json &document) {
            document["routes"][2]["session-affinity"] = true;
            document["services"][0]["engine"] = {{"slots", 8},
                                                 {"stride", 6},
                                                 {"step_ms", 5.85},
                                                 {"per_seq_ms", 0.426},
                                                 {"context_per_k", 0.0432},
                                                 {"read_per_s", 61'200},
                                                 {"pairs_per_m", 1.5},
                                                 {"kv-capacity-tokens", 310'000},
                                                 {"usual", {{"prompt", 787}, {"answer", 138}}}};
        });
        fleet.run(fleet.waitForLog(0, "event=configuration-in-force version=2"));
    }

    /// Sends a call with a 4,000-token beginning.
    Task<> send(std::string id, int events)
    {
        auto request = GatewayFleet::makeCall("/draft/stream", id);
        request.set("Cardamomhill-Prompt-Prefix", "0a:4000," + id + ":300");
        request.set("X-Events", std::to_string(events));
        const auto result = co_await fleet.call(0, std::move(request));
        CHECK(result.isComplete);
        ++ended;
    }

    /// What the gateway logged when it sent a call.
    std::string routed(const std::string &id) const
    {
        std::istringstream lines(fleet.log(0));
        std::string line;
        while (std::getline(lines, line) && line.find("event=routed request=" + id + " ") == std::string::npos) { }
        return line;
    }

    GatewayFleet fleet;
    int ended = 0;
};

} // namespace

TEST_CASE("a gateway sends a call to the engine that holds its prompt, and none there for that afterwards")
{
    EngineFleet engines;
    auto &fleet = engines.fleet;
    fleet.onRun = [&](const std::string & /*server*/, const HttpRequest &request) {
        if (request["Cardamomhill-Request-Id"] == "one") {
            fleet.spawnTask(engines.send("two", 2));
        }
    };
    fleet.run(engines.send("one", 30));
    REQUIRE(engines.ended == 2);
    fleet.run(engines.send("three", 2));
    CHECK(fleet.runs["two"] == fleet.runs["one"]);
    fleet.run(fleet.waitForLog(0, "event=routed request=three "));
    CHECK(engines.routed("one").find(" held_tokens=0 ") != std::string::npos);
    CHECK(engines.routed("two").find(" reason=holds-prompt ") != std::string::npos);
    CHECK(engines.routed("two").find(" held_tokens=4000 ") != std::string::npos);
    CHECK(engines.routed("three").find(" held_tokens=0 ") != std::string::npos);
    const auto metrics = fleet.metrics(0);
    CHECK(metrics.find("cardamomhill_choices_by_prompt_total 1\n") != std::string::npos);
    CHECK(metrics.find("cardamomhill_prompt_tokens_held_total 4000\n") != std::string::npos);
    CHECK(metrics.find("cardamomhill_prompt_tokens_read_total 8900\n") != std::string::npos);
}
