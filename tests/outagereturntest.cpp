// Guards against callers that are refused twice, and so lost, in an outage of seconds: the load that follows when one
// failure domain of a lock-step group is cut off.

#include "traffic/serviceoutage.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};
constexpr Milliseconds Tick{10};
constexpr Milliseconds CallInterval{40};
constexpr Milliseconds OutageBegin{2000};
constexpr Milliseconds OutageEnd{8000};
constexpr Milliseconds PlayTime{12000};
/// What a caller accepts: the whole time for its call, the time to a first event, and a part of the rest until it
/// comes back once.
constexpr Milliseconds Deadline{8000};
constexpr Milliseconds Patience{2000};
constexpr Milliseconds MaxWait{1400};
/// How long a caller waits that can still come back.
constexpr Milliseconds FirstWait{800};
constexpr int AcceptedFraction = 3;
constexpr Milliseconds OldReturn{1000};

/// One host, whose calls come at equal intervals, and a service that is out for six seconds.
class Outage
{
public:
    explicit Outage(bool isNoticed)
        : m_isNoticed(isNoticed)
        , m_service(ServiceOutageOptions{Milliseconds(500)})
    {
    }

    void run()
    {
        for (auto now = Start; now < Start + PlayTime; now += Tick) {
            if ((now - Start) % CallInterval == Microseconds(0)) {
                m_calls.push_back({now, now, false, false});
            }
            for (auto &call : m_calls) {
                if (!call.isOver && now >= call.comesAt) {
                    serve(call, now);
                }
            }
        }
    }

    /// Share of the calls that came between two times of the play and were served.
    double servedShare(Milliseconds from, Milliseconds to) const
    {
        double calls = 0;
        double served = 0;
        for (const auto &call : m_calls) {
            if (call.firstAt >= Start + from && call.firstAt < Start + to) {
                ++calls;
                served += call.isServed ? 1 : 0;
            }
        }
        return served / calls;
    }

    Microseconds longestWait() const
    {
        return m_longestWait;
    }

private:
    struct Call {
        SteadyTime firstAt{};
        SteadyTime comesAt{};
        bool isReturning = false;
        bool isOver = false;
        bool isServed = false;
    };

    void serve(Call &call, SteadyTime now)
    {
        const auto waited = std::chrono::duration_cast<Microseconds>(now - call.comesAt);
        const bool isUp = now < Start + OutageBegin || now >= Start + OutageEnd;
        const Microseconds wholeWait = call.isReturning ? MaxWait : FirstWait;
        const auto wait = wholeWait - waited;
        const bool mayProbe = call.isReturning ? wait <= Tick : waited == Microseconds(0);
        if (m_isNoticed && m_service.isOut(now) && !(mayProbe && m_service.tryProbe(now))) {
            if (wait > Microseconds(0) && m_service.isWorthWaiting(wholeWait, now)) {
                return;
            }
            refuse(call, now);
            return;
        }
        if (isUp) {
            m_service.recordProgress(now);
            m_longestWait = std::max(m_longestWait, waited);
            call.isServed = waited < Patience;
            call.isOver = true;
            return;
        }
        m_service.recordFailure(now);
        refuse(call, now);
    }

    void refuse(Call &call, SteadyTime now)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(call.firstAt + Deadline - now);
        const auto after = m_isNoticed ? ServiceOutage::returnAfter(left) : OldReturn;
        // A caller does not come back a third time, nor after a time that is longer than it accepts.
        call.isOver = call.isReturning || after > left / AcceptedFraction;
        call.isReturning = true;
        call.comesAt = now + after;
    }

    bool m_isNoticed;
    ServiceOutage m_service;
    std::vector<Call> m_calls;
    Microseconds m_longestWait{0};
};

} // namespace

TEST_CASE("callers who come in the last seconds of an outage are served after it")
{
    Outage before(false);
    before.run();
    Outage after(true);
    after.run();
    // They can come back and wait until the service works again, which took half a second to notice.
    constexpr Milliseconds Noticed{500};
    constexpr auto Reachable = OutageEnd - Deadline / AcceptedFraction - MaxWait + Noticed;
    MESSAGE("served of all calls in the outage: " << before.servedShare(OutageBegin, OutageEnd) << " -> "
                                                  << after.servedShare(OutageBegin, OutageEnd));
    // Without it the play has to show the fault.
    CHECK(before.servedShare(Reachable, OutageEnd) < 0.5);
    CHECK(after.servedShare(Reachable, OutageEnd) > 0.95);
    // Those that are held at first come back later.
    constexpr auto ReachableIfHeld
        = OutageEnd - FirstWait - (Deadline - FirstWait) / AcceptedFraction - MaxWait + Noticed;
    CHECK(after.servedShare(ReachableIfHeld, OutageEnd) > 0.95);
    CHECK(after.longestWait() <= MaxWait);
    CHECK(after.servedShare(OutageEnd, PlayTime) == 1);
}
