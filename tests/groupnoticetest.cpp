#include "traffic/groupnotice.h"
#include "traffic/loadnotice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Cardamomhill;

namespace
{

GroupNotice openedNotice()
{
    GroupNotice notice;
    notice.event = GroupEvent::Opened;
    notice.host = "host-a";
    notice.group = "g";
    notice.epoch = 3;
    return notice;
}

} // namespace

TEST_CASE("a group notice survives packing and is not taken for a load notice, nor the other way round")
{
    const auto original = openedNotice();
    const auto read = unpackGroupNotice(packGroupNotice(original));
    REQUIRE(read.has_value());
    CHECK(read->event == original.event);
    CHECK(read->host == original.host);
    CHECK(read->group == original.group);
    CHECK(read->epoch == original.epoch);
    CHECK_FALSE(unpackNotice(packGroupNotice(original)).has_value());
    CHECK_FALSE(unpackGroupNotice(packNotice(LoadNotice())).has_value());
}

TEST_CASE("notices with an unknown event or format, and arbitrary bytes, are rejected")
{
    auto unknownEvent = openedNotice();
    unknownEvent.event = static_cast<GroupEvent>(2);
    CHECK_FALSE(unpackGroupNotice(packGroupNotice(unknownEvent)).has_value());
    auto unknownFormat = openedNotice();
    unknownFormat.format = 2;
    CHECK_FALSE(unpackGroupNotice(packGroupNotice(unknownFormat)).has_value());
    CHECK(rc::check([](const std::string &bytes) { RC_ASSERT(!unpackGroupNotice(bytes)); }));
}
