#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "core/result.h"
#include "net/asio.h"
#include "objectstore/conditionalchange.h"
#include "objectstore/platformerror.h"
#include "objectstore/writeoutcome.h"

namespace Cardamomhill
{

class PlatformClient;

/// Makes a conditional update and determines whether it took effect, even if answers are lost.
Task<Result<WriteOutcome, PlatformError>>
writeObject(PlatformClient &client, ConditionalChange change, SteadyTime deadline, Random &random);

} // namespace Cardamomhill
