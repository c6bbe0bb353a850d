#include "standins/backendfaults.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

BackendFaults parseBackendFaults(const nlohmann::json &json)
{
    BackendFaults faults;
    faults.delayMs = json.value("delay_ms", std::int64_t{0});
    faults.loseAnswers = json.value("lose_answers", 0U);
    faults.breakAfterTokens = json.value("break_after_tokens", 0U);
    return faults;
}

} // namespace Cardamomhill
