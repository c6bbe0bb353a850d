#pragma once

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// What the operator and the servers write to the store. All names are those of the users' platform.

/// An object with its name, for a write.
std::string objectDocument(const std::string &name, const std::string &spec);

struct ServerEntry {
    std::string id;
    std::string address;
    std::uint64_t startedAt = 0;
    bool isLeaving = false;
};

std::string serverDocument(const ServerEntry &entry);

/// Lasting routes /safe/, /pay/ and /draft/ and the key "k"; besides, the route /v<version>/ and the key "k<version>".
std::string configurationDocument(std::uint64_t version);

} // namespace Cardamomhill
