#pragma once

#include "net/httpexchange.h"

namespace Cardamomhill
{

struct Execute;

/// The request that the backend server gets for an attempt.
HttpRequest engineRequest(const Execute &execute);

} // namespace Cardamomhill
