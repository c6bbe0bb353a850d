#pragma once

#include "stream/streamframe.h"
#include "wire/acknowledge.h"
#include "wire/attemptended.h"
#include "wire/cancel.h"
#include "wire/execute.h"
#include "wire/heartbeat.h"
#include "wire/heartbeatreply.h"
#include "wire/hello.h"
#include "wire/helloreply.h"
#include "wire/leavingacknowledged.h"
#include "wire/leavingnotice.h"
#include "wire/resume.h"

#include <variant>

namespace Cardamomhill
{

/// Any message between an entry process and an agent. The index of an alternative is the message type on the wire, so
/// new messages may only be added at the end.
using Message = std::variant<Hello,
                             HelloReply,
                             Execute,
                             Resume,
                             Acknowledge,
                             Cancel,
                             Heartbeat,
                             HeartbeatReply,
                             LeavingNotice,
                             LeavingAcknowledged,
                             AttemptEnded,
                             StreamFrame>;

} // namespace Cardamomhill
