#pragma once

#include "core/clocktypes.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Objects that the operator and the servers write to the store, as JSON. All field names are those of the users'
/// platform.

/// The body of a request that writes an object.
std::string objectDocument(const std::string &name, const std::string &spec);

/// What a backend server states about itself in the store.
struct ServerEntry {
    std::string id;
    std::string address;
    /// Stands for the start time; the soak uses the number of the instance, which increases too.
    std::uint64_t startedAt = 0;
    bool isLeaving = false;
    std::string failureDomain = "d1";
    Milliseconds coldRemaining{0};
};

std::string serverDocument(const ServerEntry &entry);

/// Every version has the routes /safe/, /pay/ and /draft/ and the key "k". Each also has a route /v<version>/ and a key
/// "k<version>" of its own, which show whether that version is in force.
std::string configurationDocument(std::uint64_t version);

} // namespace Cardamomhill
