#include "soak/documents.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

using Json = nlohmann::json;

Json route(const std::string &name, const std::string &type, int maxAttempts)
{
    Json json{{"name", name},
              {"hostname", "shop.example"},
              {"path-prefix", "/" + name + "/"},
              {"route-type", type},
              {"timeout-ms", 2000},
              {"target-latency-ms", 200},
              {"priority", 1},
              {"service", "shop"},
              {"max-attempts", maxAttempts},
              {"public", false}};
    if (type == "streaming") {
        json["stream-resume"] = true;
        json["gap-target-ms"] = 120;
    }
    return json;
}

} // namespace

std::string objectDocument(const std::string &name, const std::string &spec)
{
    return Json{{"metadata", {{"name", name}}}, {"spec", Json::parse(spec)}}.dump();
}

std::string serverDocument(const ServerEntry &entry)
{
    return Json{{"service", "shop"},
                {"address", entry.address},
                {"zone", entry.failureDomain},
                {"version", "v1"},
                {"slots", 8},
                {"state", entry.isLeaving ? "draining" : "ready"},
                {"cold-remaining-ms", entry.coldRemaining.count()},
                {"born", entry.startedAt},
                {"sequence", 1}}
        .dump();
}

std::string configurationDocument(std::uint64_t version)
{
    const auto versionText = std::to_string(version);
    const Json service{
        {"name", "shop"}, {"health-path", "/health"}, {"max-connections", 500}, {"protocol", "h1"}, {"tls", false}};
    const Json limits{{"max-header-bytes", 16384},
                      {"max-body-bytes", 100000},
                      {"header-timeout-ms", 1000},
                      {"idle-timeout-ms", 15000}};
    const Json tenant{{"name", "workshop"}, {"api-keys", {"k", "k" + versionText}}};
    Json document{{"version", version}, {"limits", limits}};
    document["routes"] = Json::array({route("safe", "idempotent", 3),
                                      route("pay", "non_idempotent", 2),
                                      route("draft", "streaming", 3),
                                      route("v" + versionText, "idempotent", 3)});
    document["services"] = Json::array({service});
    document["tenants"] = Json::array({tenant});
    return document.dump();
}

} // namespace Cardamomhill
