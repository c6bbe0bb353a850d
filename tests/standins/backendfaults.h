#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Cardamomhill
{

/// Faults of a stand-in backend server; set by POST /faults.
struct BackendFaults {
    /// Additional time before each answer of the plain service and for each step of the model engine.
    std::int64_t delayMs = 0;
    /// The plain service executes this many requests and then closes the connection without an answer.
    std::uint32_t loseAnswers = 0;
    /// The model engine aborts an answer after this many tokens; 0 for never.
    std::uint32_t breakAfterTokens = 0;
};

BackendFaults parseBackendFaults(const nlohmann::json &json);

} // namespace Cardamomhill
