#include "lostorders.h"

#include <algorithm>

namespace Review
{

namespace
{

/// `stable-window-ms`.
constexpr std::int64_t StableWindowMs = 3000;

} // namespace

std::size_t lostCount(const std::vector<Caller::Call> &calls, const std::function<bool(const std::string &)> &hasRun)
{
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [&hasRun](const Caller::Call &call) {
        const bool isLost = call.status == 0 && call.isConnectionKept && hasRun(call.id);
        return isLost && call.processAge >= StableWindowMs;
    }));
}

} // namespace Review
