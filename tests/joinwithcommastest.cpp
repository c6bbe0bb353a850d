#include "core/joinwithcommas.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace Cardamomhill;

TEST_CASE("elements are joined with commas, and an empty range gives an empty text")
{
    CHECK(joinWithCommas(std::vector<std::string>{}).empty());
    CHECK(joinWithCommas(std::vector<std::string>{"a"}) == "a");
    const std::map<std::string, int> entries{{"a", 1}, {"b", 2}};
    CHECK(joinWithCommas(entries, [](const auto &entry) { return entry.first + std::to_string(entry.second); })
          == "a1,b2");
}
