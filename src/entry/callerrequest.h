#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

#include <memory>
#include <string>

namespace Cardamomhill
{

class Configuration;
struct Organisation;
struct Profile;
struct Service;

/// A checked request of a caller. The configuration that it was checked against stays alive with it.
struct CallerRequest {
    std::shared_ptr<const Configuration> configuration;
    RequestId id;
    const Service *service = nullptr;
    const Profile *profile = nullptr;
    const Organisation *organisation = nullptr;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool isIdempotent = true;
    SteadyTime deadline;
};

} // namespace Cardamomhill
