#include "core/parsenumber.h"

#include <doctest/doctest.h>

#include <cstdint>

using namespace Cardamomhill;

TEST_CASE("a number is parsed only if it is the whole text and fits the type")
{
    CHECK(parseNumber<std::uint16_t>("80") == 80);
    CHECK(parseNumber<std::int64_t>("-5") == -5);
    for (const auto *text : {"", "x", "8x", " 8", "-8", "70000"}) {
        CHECK_FALSE(parseNumber<std::uint16_t>(text).has_value());
    }
}
