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

/// How a class of traffic is treated. Operators create profiles; each service names the one it runs under.
struct Profile {
    ProfileId id;
    TrafficClass trafficClass = TrafficClass::Interactive;
    /// Longest time that a request may take before it ends with a typed answer.
    Milliseconds timeout{60'000};
    /// Largest share of first attempts that retries may add.
    double retryRatio = 0.1;
    /// Keep requests with the same prompt prefix on one backend server while its load allows it.
    bool prefixAffinity = true;
    /// Weight of step-time skew in the decision to rebalance experts.
    double skewWeight = 1.0;
    /// Weight of transfer cost in the decision to rebalance experts.
    double rebalancingCostWeight = 1.0;

    bool operator==(const Profile &) const = default;
};

/// Reads a profile from the JSON value of its platform object.
Result<Profile, ConfigErrors> parseProfile(const std::string &name, std::string_view json);

} // namespace Cardamomhill
