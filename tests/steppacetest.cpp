#include "traffic/steppace.h"

#include <doctest/doctest.h>

#include <random>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};

/// Arrivals of a group whose ranks send within a few milliseconds after each step.
class Group
{
public:
    /// Returns how often a change was reported in that many steps.
    int step(int steps, Milliseconds duration, int noisePercent = 0)
    {
        int reports = 0;
        for (int i = 0; i < steps; ++i) {
            std::uniform_int_distribution<int> noise(100 - noisePercent, 100 + noisePercent);
            m_now += Microseconds(duration) * noise(m_random) / 100;
            for (int stream = 0; stream < 4; ++stream) {
                reports += m_pace.arrived(m_now + Microseconds(500) * stream) ? 1 : 0;
            }
        }
        return reports;
    }

    void pause(Milliseconds time)
    {
        m_now += time;
    }

    const StepPace &pace() const
    {
        return m_pace;
    }

private:
    StepPace m_pace;
    SteadyTime m_now = Start;
    std::mt19937 m_random{1};
};

} // namespace

TEST_CASE("steps that turn slower are reported once, within two steps")
{
    Group group;
    CHECK(group.step(50, Milliseconds(50), 10) == 0);
    CHECK(group.pace().usual() > Milliseconds(40));
    CHECK(group.pace().usual() < Milliseconds(60));
    CHECK(group.step(1, Milliseconds(80)) == 0);
    CHECK(group.step(1, Milliseconds(80)) == 1);
    CHECK(group.step(5, Milliseconds(80)) == 0);
    // The new duration becomes the usual one, and a further change is reported again.
    CHECK(group.step(60, Milliseconds(80)) == 0);
    CHECK(group.step(2, Milliseconds(130)) == 1);
}

TEST_CASE("a single slow step, faster steps and pauses between calls are no change")
{
    Group group;
    group.step(50, Milliseconds(50));
    CHECK(group.step(1, Milliseconds(120)) == 0);
    CHECK(group.step(10, Milliseconds(50)) == 0);
    CHECK(group.step(20, Milliseconds(35)) == 0);
    for (int i = 0; i < 5; ++i) {
        group.pause(Milliseconds(400));
        CHECK(group.step(1, Milliseconds(50)) == 0);
    }
}

TEST_CASE("nothing is reported before the usual duration is known")
{
    Group group;
    CHECK(group.step(3, Milliseconds(50)) == 0);
    CHECK(group.step(3, Milliseconds(100)) == 0);
    CHECK(group.pace().usual() == Microseconds(0));
}
