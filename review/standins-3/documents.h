#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Parts of the documents that the operator writes to the store, with the figures of the small deployments.

/// A route to a service. Further fields can be added to it.
nlohmann::json
routeDocument(const std::string &host, const std::string &prefix, const std::string &type, const std::string &service);

/// A route of streams that may be resumed.
nlohmann::json streamRouteDocument(const std::string &host, const std::string &prefix, const std::string &service);

nlohmann::json serviceDocument(const std::string &name);

/// A service whose servers are ranks of groups, with as many experts as QuietGroup has.
nlohmann::json engineServiceDocument(const std::string &name);

/// @param keys the keys of one tenant each
std::string configurationDocument(int version,
                                  const std::vector<nlohmann::json> &routes,
                                  const std::vector<nlohmann::json> &services,
                                  const std::vector<std::string> &keys);
