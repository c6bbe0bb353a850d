#pragma once

#include "caller.h"

#include <functional>

namespace Review
{

/// The requests that break LOST: passed on from a kept connection to a sound server, and the connection closed without
/// an answer, by a machine in touch. Nothing but processes that end by themselves happens to the machines.
/// @param hasRun whether a sound server has run the request
std::size_t lostCount(const std::vector<Caller::Call> &calls, const std::function<bool(const std::string &)> &hasRun);

/// More of them break the rule.
constexpr std::size_t AllowedLosses = 3;

} // namespace Review
