#pragma once

#include "core/clocktypes.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// What a call says of itself, apart from its body.
struct CallHead {
    /// The caller's own id of this attempt.
    std::string id;
    /// Lower case, without a port.
    std::string hostName;
    /// Without the query.
    std::string path;
    /// The key that shows the organisation; empty if none was sent.
    std::string key;
    /// How long the caller will wait.
    std::optional<Milliseconds> patience;
    /// The caller resumes a stream after this event.
    std::string lastEventId;
};

} // namespace Cardamomhill
