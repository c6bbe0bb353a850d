#include "soak/stopverdict.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds UnreadLimit{200};
/// Deadlines are whole milliseconds on their way to the server, rounded down.
constexpr Milliseconds DeadlineResolution{1};
constexpr unsigned FirstServerError = 500;
constexpr unsigned Unavailable = 503;

bool wasAtWorkLate(const StopCall &call, SteadyTime terminatedAt, Milliseconds terminationGrace)
{
    const auto lastSixth = terminatedAt + terminationGrace * 5 / 6;
    if (call.lastEventAt && *call.lastEventAt < lastSixth) {
        return false;
    }
    return call.lastRunAt && call.sentAt <= terminatedAt + lastExcusedSending(terminationGrace)
        && std::min(call.answeredAt.value_or(call.endedAt), call.endedAt) >= lastSixth;
}

} // namespace

const char *nameOf(StopVerdict verdict)
{
    switch (verdict) {
    case StopVerdict::Answered:
        return "answered";
    case StopVerdict::AtWork:
        return "at-work";
    case StopVerdict::TimedOut:
        return "timed-out";
    case StopVerdict::LeftSilent:
        return "left-silent";
    case StopVerdict::BrokenOff:
        return "broken-off";
    case StopVerdict::Unread:
        return "unread";
    case StopVerdict::Unexplained:
        break;
    }
    return "unexplained";
}

StopVerdict judge(const StopCall &call,
                  std::optional<SteadyTime> terminatedAt,
                  Milliseconds terminationGrace,
                  Milliseconds routeTimeout)
{
    if (call.isComplete && (call.status < FirstServerError || call.status == Unavailable)) {
        return StopVerdict::Answered;
    }
    if (call.endedAt - call.sentAt >= routeTimeout - DeadlineResolution) {
        return StopVerdict::TimedOut;
    }
    if (call.isBrokenOff) {
        return StopVerdict::BrokenOff;
    }
    if (call.wasLeftSilent) {
        return StopVerdict::LeftSilent;
    }
    if (terminatedAt && wasAtWorkLate(call, *terminatedAt, terminationGrace)) {
        return StopVerdict::AtWork;
    }
    if (!call.isComplete && !call.lastRunAt && call.endedAt - call.sentAt <= UnreadLimit) {
        return StopVerdict::Unread;
    }
    return StopVerdict::Unexplained;
}

Milliseconds lastExcusedSending(Milliseconds terminationGrace)
{
    return terminationGrace * 3 / 8;
}

} // namespace Cardamomhill
