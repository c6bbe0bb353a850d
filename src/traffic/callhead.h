#pragma once

#include "core/clocktypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The size of a generation as the caller states it.
struct GenerationSize {
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokenLimit = 0;
};

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
    std::optional<GenerationSize> size;
    /// The caller's guess of the number of tokens of the answer.
    std::optional<std::uint32_t> answerTokenEstimate;
    /// The caller resumes a stream after this event.
    std::string lastEventId;
};

} // namespace Cardamomhill
