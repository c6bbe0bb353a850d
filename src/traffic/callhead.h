#pragma once

#include "core/clocktypes.h"
#include "traffic/promptpart.h"
#include "traffic/promptpartids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// A call without its body: what its request line and headers state.
struct CallHead {
    /// The id that the caller gave to this attempt.
    std::string id;
    /// Lower case, without a port.
    std::string hostName;
    /// Without the query.
    std::string path;
    /// The API key that identifies the organisation; empty if none was sent.
    std::string key;
    /// Time after which the caller gives up, as it states it.
    std::optional<Milliseconds> remainingTime;
    /// The event after which the caller resumes a stream; empty for a new stream.
    std::string lastEventId;
    /// The first parts of the prompt that other calls may share, in order.
    std::vector<PromptPart> sharedPromptParts;
    /// The ids of all parts that other calls may share: all parts but the last.
    PromptPartIds sharedPromptPartIds;
    /// Tokens of the whole prompt, as far as the caller states them.
    std::uint64_t promptTokens = 0;
};

} // namespace Cardamomhill
