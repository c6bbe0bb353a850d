#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct Route;

/// How long a stream may make no event before it goes on elsewhere. Time runs by whole events, so that neither a
/// server that sends single bytes is waited for, nor a slow but sound stream is moved.
struct StreamPatience {
    /// While nothing arrives from any server of its group either.
    Milliseconds stalledGroup{0};
    /// For a stream that has begun, although other streams of its group go on.
    Milliseconds silentStream{0};
};

StreamPatience patienceWith(const Route &route);

} // namespace Cardamomhill
