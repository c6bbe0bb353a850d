#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cardamomhill
{

/// A configuration document with every kind of entry, in which a check finds nothing.
inline nlohmann::json soundDocument()
{
    return nlohmann::json::parse(R"({
        "version": 7,
        "routes": [
            {"name": "safe", "hostname": "shop.example", "path-prefix": "/safe/", "route-type": "idempotent",
             "timeout-ms": 2000, "target-latency-ms": 200, "priority": 1, "service": "shop", "max-attempts": 3},
            {"name": "pay", "hostname": "shop.example", "path-prefix": "/pay/", "route-type": "non_idempotent",
             "timeout-ms": 1500, "service": "shop", "public": true},
            {"name": "draft", "hostname": "shop.example", "path-prefix": "/", "route-type": "streaming",
             "timeout-ms": 4000, "target-latency-ms": 1000, "gap-target-ms": 120, "stream-resume": true,
             "session-affinity": "prefix", "max-attempts": 2,
             "traffic-split": [{"service": "chat", "weight": 3}, {"service": "chat-next", "weight": 1}]}],
        "services": [
            {"name": "shop", "max-connections": 50, "cold-start-s": 7.5, "cold-per-s": 14},
            {"name": "chat", "engine": {"slots": 8, "step_ms": 20, "usual": {"prompt": 900, "answer": 200}}},
            {"name": "chat-next", "engine": {"slots": 8, "step_ms": 18}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 1000,
                   "idle-timeout-ms": 15000},
        "tenants": [
            {"name": "workshop", "priority": 1, "api-keys": ["secret-1", "secret-2"]},
            {"name": "kiosk", "api-keys": ["secret-3"]}]
    })");
}

/// A sound document in which the value at a JSON pointer is another one.
inline nlohmann::json documentWith(const std::string &pointer, const nlohmann::json &value)
{
    auto document = soundDocument();
    document[nlohmann::json::json_pointer(pointer)] = value;
    return document;
}

} // namespace Cardamomhill
