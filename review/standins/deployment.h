#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Review
{

class Store;

constexpr const char *HostName = "ficu95.example";
constexpr const char *ApiKey = "n2ctnfzs989anu6wsjnb";
/// The services of the site papel-picado: orders and lookups, and event streams.
constexpr const char *OrderService = "taller-app";
constexpr const char *StreamService = "asistente";

/// Registers a server, or changes its entry, with the fields of the protocol page.
void registerServer(Store &store,
                    const std::string &service,
                    const std::string &id,
                    std::uint16_t port,
                    const std::string &state = "ready",
                    const std::string &version = "v1");

/// A route of the order service whose path prefix is its name.
nlohmann::json routeOf(const std::string &name, const std::string &type, int timeoutMs, int maxAttempts);
/// A route of the stream service with the figures of the site papel-picado.
nlohmann::json streamRouteOf(const std::string &name);

/// Writes the configuration with these routes.
/// @param keys of the one tenant
void writeConfiguration(Store &store,
                        int version,
                        const nlohmann::json &routes,
                        const std::vector<std::string> &keys = {ApiKey});

/// The text of a client's request, with its id, its deadline and its key.
std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &key,
                        int deadlineMs,
                        const std::string &body);

/// The headers that a server's answer to the request has.
std::string answerHeaders(const std::string &requestId);

} // namespace Review
