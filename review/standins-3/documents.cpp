#include "documents.h"

#include "quietgroup.h"

using Json = nlohmann::json;

Json routeDocument(const std::string &host,
                   const std::string &prefix,
                   const std::string &type,
                   const std::string &service)
{
    return {{"name", "route-of-" + service},
            {"hostname", host},
            {"path-prefix", prefix},
            {"route-type", type},
            {"timeout-ms", 1000},
            {"target-latency-ms", 120},
            {"priority", 2},
            {"service", service},
            {"max-attempts", 2},
            {"public", false}};
}

Json streamRouteDocument(const std::string &host, const std::string &prefix, const std::string &service)
{
    auto route = routeDocument(host, prefix, "streaming", service);
    route["timeout-ms"] = 8000;
    route["target-latency-ms"] = 400;
    route["gap-target-ms"] = 120;
    route["stream-resume"] = true;
    route["priority"] = 1;
    return route;
}

Json serviceDocument(const std::string &name)
{
    return {{"name", name}, {"health-path", "/health"}, {"max-connections", 550}, {"protocol", "h1"}, {"tls", false}};
}

Json engineServiceDocument(const std::string &name)
{
    auto service = serviceDocument(name);
    service["engine"] = {{"slots", 10},
                         {"step_ms", 5.85},
                         {"per_seq_ms", 0.426},
                         {"stride", 6},
                         {"context_per_k", 0.0432},
                         {"read_per_s", 61200},
                         {"pairs_per_m", 0.325},
                         {"kv-capacity-tokens", 310000},
                         {"report_lag_ms", 200.0},
                         {"sets", 1},
                         {"experts", QuietGroup::Experts},
                         {"places", QuietGroup::Experts},
                         {"spare", 2},
                         {"expert-mb", 150.0},
                         {"link-mbps", 92000.0},
                         {"form_ms", 600.0},
                         {"usual", {{"prompt", 800}, {"answer", 138}}}};
    return service;
}

std::string configurationDocument(int version,
                                  const std::vector<Json> &routes,
                                  const std::vector<Json> &services,
                                  const std::vector<std::string> &keys)
{
    Json tenants = Json::array();
    for (const auto &key : keys) {
        tenants.push_back({{"name", "tenant-" + std::to_string(tenants.size() + 1)}, {"api-keys", Json::array({key})}});
    }
    return Json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 100000},
                  {"header-timeout-ms", 2000},
                  {"idle-timeout-ms", 15000}}},
                {"tenants", tenants}}
        .dump();
}
