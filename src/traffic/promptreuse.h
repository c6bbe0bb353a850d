#pragma once

#include "traffic/firsteventestimate.h"
#include "traffic/promptoutline.h"

#include <optional>

namespace Cardamomhill
{

struct CallHead;
struct EngineProfile;
struct Route;

/// What it takes to weigh the tokens of a call's prompt that an engine holds against the wait there.
struct PromptReuse {
    PromptOutline prompt;
    FirstEventEstimate estimate;

    /// Whether reading the shared tokens takes longer than one more running call delays the first event. Less is no
    /// reason to prefer a server: hosts know the calls of others late, so preferences crowd servers.
    bool isWorthWeighing() const;
};

/// Nothing for routes without session affinity and for engines whose profile is incomplete. A prompt without stated
/// tokens counts as one of mean length that no other call shares.
std::optional<PromptReuse> promptReuseFor(const Route &route, const EngineProfile &engine, const CallHead &call);

} // namespace Cardamomhill
