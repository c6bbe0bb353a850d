#include "support/groupunderburst.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("a burst of less urgent calls leaves 85 in 100 urgent calls in time")
{
    const auto after = GroupUnderBurst(true).run();
    CHECK(after[0].inTime > 0.85 * after[0].calls);
}
