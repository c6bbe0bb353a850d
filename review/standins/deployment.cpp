#include "deployment.h"

#include "store.h"

namespace Review
{

namespace
{

constexpr int AttemptsOfStreams = 2;
constexpr int StreamTimeoutMs = 8000;

} // namespace

void registerServer(Store &store,
                    const std::string &service,
                    const std::string &id,
                    std::uint16_t port,
                    const std::string &state,
                    const std::string &version)
{
    store.put("servers",
              id,
              {{"service", service},
               {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "zona-norte"},
               {"version", version},
               {"slots", 12},
               {"state", state},
               {"cold-remaining-ms", 0},
               {"born", 1'700'000'000'000},
               {"sequence", 1}});
}

nlohmann::json routeOf(const std::string &name, const std::string &type, int timeoutMs, int maxAttempts)
{
    return {{"name", name},
            {"hostname", HostName},
            {"path-prefix", "/" + name + "/"},
            {"route-type", type},
            {"timeout-ms", timeoutMs},
            {"target-latency-ms", 400},
            {"priority", 1},
            {"service", OrderService},
            {"max-attempts", maxAttempts},
            {"public", false}};
}

nlohmann::json streamRouteOf(const std::string &name)
{
    auto route = routeOf(name, "streaming", StreamTimeoutMs, AttemptsOfStreams);
    route["service"] = StreamService;
    route["stream-resume"] = true;
    route["gap-target-ms"] = 120;
    return route;
}

void writeConfiguration(Store &store, int version, const nlohmann::json &routes, const std::vector<std::string> &keys)
{
    auto services = nlohmann::json::array();
    for (const auto *name : {OrderService, StreamService}) {
        services.push_back(
            {{"name", name}, {"health-path", "/health"}, {"max-connections", 975}, {"protocol", "h1"}, {"tls", false}});
    }
    const nlohmann::json limits{{"max-header-bytes", 16384},
                                {"max-body-bytes", 4194304},
                                {"header-timeout-ms", 3000},
                                {"idle-timeout-ms", 15000}};
    const nlohmann::json tenant{{"name", "hule930"}, {"api-keys", keys}, {"priority", 1}};
    store.put("config",
              "main",
              {{"version", version},
               {"routes", routes},
               {"services", services},
               {"limits", limits},
               {"tenants", nlohmann::json::array({tenant})}});
}

std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &key,
                        int deadlineMs,
                        const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + HostName + "\r\nCardamomhill-Request-Id: " + id
        + "\r\nCardamomhill-Request-Deadline: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + key
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerHeaders(const std::string &requestId)
{
    return "Cardamomhill-Request-Id: " + requestId + "\r\nCardamomhill-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

} // namespace Review
