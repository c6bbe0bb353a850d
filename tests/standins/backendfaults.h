#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Cardamomhill
{

/// Faults of a stand-in backend server; switched by POST /faults.
struct BackendFaults {
    /// Extra time before each answer.
    std::int64_t delayMs = 0;
    /// This many answers are given up after their execution: the connection is closed instead.
    std::uint32_t loseAnswers = 0;
    /// A stream breaks after this many tokens; 0 for never.
    std::uint32_t breakAfterTokens = 0;
};

BackendFaults parseBackendFaults(const nlohmann::json &json);

} // namespace Cardamomhill
