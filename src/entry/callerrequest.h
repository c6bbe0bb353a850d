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

/// A valid request of a caller. It keeps alive the configuration that it was checked against, to which its pointers
/// refer.
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
