#include "traffic/slowstepdetector.h"

#include <doctest/doctest.h>

#include <random>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};

/// Simulates a group whose ranks all send data within a few milliseconds after each step.
class Group
{
public:
    /// Executes steps and returns how many reports they caused.
    int step(int steps, Milliseconds duration, int noisePercent = 0)
    {
        int reports = 0;
        for (int i = 0; i < steps; ++i) {
            std::uniform_int_distribution<int> noise(100 - noisePercent, 100 + noisePercent);
            m_now += Microseconds(duration) * noise(m_random) / 100;
            for (int stream = 0; stream < 4; ++stream) {
                reports += m_detector.recordArrival(m_now + Microseconds(500) * stream) ? 1 : 0;
            }
        }
        return reports;
    }

    void pause(Milliseconds time)
    {
        m_now += time;
    }

    const SlowStepDetector &detector() const
    {
        return m_detector;
    }

private:
    SlowStepDetector m_detector;
    SteadyTime m_now = Start;
    std::mt19937 m_random{1};
};

} // namespace

TEST_CASE("an increase of the step duration is reported once, at the second slow step")
{
    Group group;
    CHECK(group.step(50, Milliseconds(50), 10) == 0);
    CHECK(group.detector().meanDuration() > Milliseconds(40));
    CHECK(group.detector().meanDuration() < Milliseconds(60));
    CHECK(group.step(1, Milliseconds(80)) == 0);
    CHECK(group.step(1, Milliseconds(80)) == 1);
    CHECK(group.step(5, Milliseconds(80)) == 0);
    // The mean adapts to the new duration, and the next increase is reported again.
    CHECK(group.step(60, Milliseconds(80)) == 0);
    CHECK(group.step(2, Milliseconds(130)) == 1);
}

TEST_CASE("a single slow step, faster steps and pauses between calls are not reported")
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

TEST_CASE("nothing is reported before enough steps were seen")
{
    Group group;
    CHECK(group.step(3, Milliseconds(50)) == 0);
    CHECK(group.step(3, Milliseconds(100)) == 0);
    CHECK(group.detector().meanDuration() == Microseconds(0));
}

TEST_CASE("a step that takes long shows while it lasts, and a pause between calls is no step")
{
    Group group;
    group.step(50, Milliseconds(50));
    const auto end = Start + 50 * Milliseconds(50);
    const auto &detector = group.detector();
    CHECK(detector.currentDuration(end + Milliseconds(10)) == Milliseconds(50));
    CHECK(detector.currentDuration(end + Milliseconds(120)) == Milliseconds(120));
    CHECK(detector.currentDuration(end + Milliseconds(400)) == Milliseconds(0));
    CHECK(SlowStepDetector().currentDuration(Start) == Milliseconds(0));
}
