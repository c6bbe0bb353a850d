#include "traffic/admissionpacer.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};
constexpr std::size_t Engines = 72;

/// Calls that `hosts` hosts send in half a second if all see the same room and each has calls waiting.
int sentBy(std::size_t hosts, double room)
{
    int sent = 0;
    std::vector<AdmissionPacer> pacers(hosts);
    for (auto &pacer : pacers) {
        pacer.tryAdmit(0, Engines, hosts, Start);
    }
    for (auto now = Start; now < Start + Milliseconds(500); now += Milliseconds(10)) {
        for (auto &pacer : pacers) {
            sent += pacer.tryAdmit(room, Engines, hosts, now) ? 1 : 0;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("hosts that see the same room do not all fill it before they know of each other's calls")
{
    for (const std::size_t hosts : {1, 10, 53, 300}) {
        CHECK(sentBy(hosts, 60) <= 60);
    }
    CHECK(sentBy(10, 60) >= 50);
}

TEST_CASE("nothing is sent into a group without room")
{
    CHECK(sentBy(53, 0) == 0);
    CHECK(sentBy(53, -20) == 0);
}

TEST_CASE("calls are not held back where there is room at each engine")
{
    AdmissionPacer pacer;
    for (int i = 0; i < 20; ++i) {
        CHECK(pacer.tryAdmit(Engines, Engines, 53, Start));
    }
}
