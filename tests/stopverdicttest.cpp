#include "soak/stopverdict.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds Grace{2400};
constexpr Milliseconds RouteTimeout{2000};
constexpr SteadyTime TerminatedAt{std::chrono::hours(1)};

/// A call whose connection ended without a complete answer.
StopCall cutCall(Milliseconds sent, Milliseconds ended, std::optional<Milliseconds> answered = {})
{
    StopCall call;
    call.sentAt = TerminatedAt + sent;
    call.endedAt = TerminatedAt + ended;
    call.lastRunAt = call.sentAt;
    if (answered) {
        call.answeredAt = TerminatedAt + *answered;
    }
    return call;
}

StopVerdict verdict(const StopCall &call)
{
    return judge(call, TerminatedAt, Grace, RouteTimeout);
}

} // namespace

TEST_CASE("a call that a stop cuts is excused only if it was sent early and its server was at work near the kill")
{
    using std::chrono::milliseconds;
    CHECK(verdict(cutCall(milliseconds(900), milliseconds(2100))) == StopVerdict::AtWork);
    // Sent too late, cut too soon, or cut although its server had finished.
    CHECK(verdict(cutCall(milliseconds(901), milliseconds(2100))) == StopVerdict::Unexplained);
    CHECK(verdict(cutCall(milliseconds(900), milliseconds(1990))) == StopVerdict::Unexplained);
    CHECK(verdict(cutCall(milliseconds(900), milliseconds(2100), milliseconds(1990))) == StopVerdict::Unexplained);
    const auto withoutStop = cutCall(milliseconds(900), milliseconds(2100));
    CHECK(judge(withoutStop, std::nullopt, Grace, RouteTimeout) == StopVerdict::Unexplained);
}

TEST_CASE("a call that no server got is excused only if its connection ends at once")
{
    using std::chrono::milliseconds;
    auto call = cutCall(milliseconds(1000), milliseconds(1200));
    CHECK(verdict(call) == StopVerdict::Unexplained);
    call.lastRunAt.reset();
    CHECK(verdict(call) == StopVerdict::Unread);
    call.endedAt += milliseconds(1);
    CHECK(verdict(call) == StopVerdict::Unexplained);
}

TEST_CASE("a failure of the gateway needs an excuse, a refusal and an answer of a server do not")
{
    using std::chrono::milliseconds;
    auto call = cutCall(milliseconds(100), milliseconds(1500));
    call.isComplete = true;
    for (const unsigned status : {200U, 429U, 503U}) {
        call.status = status;
        CHECK(verdict(call) == StopVerdict::Answered);
    }
    call.status = 502;
    CHECK(verdict(call) == StopVerdict::Unexplained);
    call.endedAt = call.sentAt + RouteTimeout;
    CHECK(verdict(call) == StopVerdict::TimedOut);
    call.isComplete = false;
    CHECK(verdict(call) == StopVerdict::TimedOut);
}

TEST_CASE("a call is excused if the last server that had it broke it off")
{
    auto call = cutCall(std::chrono::milliseconds(900), std::chrono::milliseconds(1000));
    CHECK(verdict(call) == StopVerdict::Unexplained);
    call.isBrokenOff = true;
    CHECK(verdict(call) == StopVerdict::BrokenOff);
}
