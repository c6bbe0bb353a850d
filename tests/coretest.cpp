#include "core/core.h"

#include <doctest/doctest.h>

namespace Cardamomhill
{

enum class Colour { Red, Blue };

constexpr auto nameTable(Colour)
{
    return std::to_array<NamedValue<Colour>>({{Colour::Red, "red"}, {Colour::Blue, "blue"}});
}

TEST_CASE("enumerators convert to their names and back")
{
    CHECK(nameOf(Colour::Blue) == "blue");
    CHECK(valueOf<Colour>("red") == Colour::Red);
    CHECK_FALSE(valueOf<Colour>("green").has_value());
    CHECK(acceptedNames<Colour>() == "red, blue");
}

TEST_CASE("hashes are the same in every build, since processes of different releases compare them")
{
    // Reference value of XXH3 for empty input and seed 0.
    CHECK(hash64("") == 0x2d06800538d394c2ULL);
    CHECK(hash64("a", 1) != hash64("a", 2));
    CHECK(combineHashes(1, 2) != combineHashes(2, 1));
}

TEST_CASE("identifiers with the same value are equal and have the same hash")
{
    CHECK(HostId("a") == HostId("a"));
    CHECK(HostId("a") < HostId("b"));
    CHECK(std::hash<HostId>()(HostId("a")) == std::hash<HostId>()(HostId("a")));
}

} // namespace Cardamomhill
