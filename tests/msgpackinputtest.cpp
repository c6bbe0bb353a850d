#include "core/msgpackinput.h"
#include "group/groupmessage.h"
#include "membership/membershipmessage.h"
#include "traffic/loadnotice.h"
#include "wire/msgpackcodec.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

/// Containers with a stated size of 1.6 thousand million elements, none of which follows.
const std::vector<std::string> OversizedContainers{
    "\xDF"
    "aaaa",
    "\xDD"
    "aaaa",
    "\x91\xDD"
    "aaaa",
};

} // namespace

TEST_CASE("a container whose stated size exceeds the input is rejected without reserving memory")
{
    for (const auto &bytes : OversizedContainers) {
        CHECK_THROWS_AS(unpackObject(bytes), msgpack::size_overflow);
        CHECK_FALSE(unpackNotice(bytes).has_value());
        CHECK(decodeMembershipMessage(bytes).has_error());
        CHECK(unpackGroupMessage(bytes).has_error());
        CHECK(unpackMsgpack<std::vector<std::uint64_t>>(bytes).has_error());
    }
}

TEST_CASE("deep nesting is rejected")
{
    CHECK_THROWS_AS(unpackObject(std::string(100, '\x91') + "\x01"), msgpack::depth_size_overflow);
    CHECK(unpackObject(std::string(10, '\x91') + "\x01")->type == msgpack::type::ARRAY);
}
