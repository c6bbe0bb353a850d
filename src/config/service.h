#pragma once

#include "config/configerror.h"
#include "config/idempotentcall.h"
#include "config/servicekind.h"
#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// The destination of a call: a model, or a plain service that runs beside the model engines.
struct Service {
    ServiceId id;
    ProfileId profile;
    ServiceKind kind = ServiceKind::Model;
    /// Calls to a plain service that may be repeated; all its other calls run at most once.
    std::vector<IdempotentCall> idempotentCalls;
    /// How long an idempotency key and its recorded answer stay valid.
    Seconds keyLifetime{24 * 3600};

    /// Whether a call may be repeated.
    bool isIdempotent(std::string_view method, std::string_view path) const;

    bool operator==(const Service &) const = default;
};

/// Parses a service from the JSON value of its platform object.
Result<Service, ConfigErrors> parseService(const std::string &name, std::string_view json);

} // namespace Cardamomhill
