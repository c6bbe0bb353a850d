#pragma once

#include "traffic/attemptend.h"

namespace Cardamomhill
{

class Attempt;
class GatewayThread;
struct CallState;
struct ServerChoice;

/// Records that an attempt begins: in the state of its call, at its server and in the log.
void recordAttemptBegin(GatewayThread &thread, CallState &state, const ServerChoice &choice);

/// Counts a choice that skipped servers because they are cold.
void recordColdSkipped(GatewayThread &thread, const ServerChoice &choice);

/// Records how an attempt ended.
void recordAttemptEnd(GatewayThread &thread, CallState &state, const Attempt &attempt, AttemptEnd end);

} // namespace Cardamomhill
