#pragma once

#include "net/httpexchange.h"

namespace Cardamomhill
{

struct Execute;

/// The HTTP request to the backend server for an attempt.
HttpRequest engineRequest(const Execute &execute);

} // namespace Cardamomhill
