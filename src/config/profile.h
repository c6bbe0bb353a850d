#pragma once

#include "config/configerror.h"
#include "config/trafficclass.h"
#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// How a class of traffic is treated. Operators create profiles, and each service refers to one.
struct Profile {
    ProfileId id;
    TrafficClass trafficClass = TrafficClass::Interactive;
    /// Maximum duration of a request, after which it ends with a typed error answer.
    Milliseconds timeout{60'000};
    /// Maximum ratio of retries to first attempts.
    double retryRatio = 0.1;
    /// Whether requests with the same prompt prefix go to the same backend server while its load allows it.
    bool prefixAffinity = true;
    /// Weight of the skew in step times in the decision to rebalance experts.
    double skewWeight = 1.0;
    /// Weight of the transfer cost in the decision to rebalance experts.
    double rebalancingCostWeight = 1.0;

    bool operator==(const Profile &) const = default;
};

/// Parses a profile from the JSON value of its platform object.
Result<Profile, ConfigErrors> parseProfile(const std::string &name, std::string_view json);

} // namespace Cardamomhill
