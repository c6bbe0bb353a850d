#pragma once

#include "core/result.h"
#include "entry/callerrequest.h"
#include "entry/problem.h"
#include "net/httpexchange.h"

#include <memory>

namespace Cardamomhill
{

class Configuration;
struct Organisation;

/// The organisation whose bearer token the request has, or null.
const Organisation *authenticate(const HttpRequest &request, const Configuration &configuration);

/// Checks a caller's HTTP request: path, token, service, headers.
Result<CallerRequest, Problem> parseCallerRequest(const HttpRequest &request,
                                                  std::shared_ptr<const Configuration> configuration,
                                                  RequestId id,
                                                  SteadyTime now);

} // namespace Cardamomhill
