#include "traffic/eventsplitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

std::vector<StreamEvent> split(EventSplitter &splitter, std::string_view chunk)
{
    splitter.append(chunk);
    std::vector<StreamEvent> events;
    while (auto event = splitter.next()) {
        events.push_back(*event);
    }
    return events;
}

} // namespace

TEST_CASE("an event is returned only when it is complete")
{
    EventSplitter splitter;
    CHECK(split(splitter, "id: 7\ndata: a").empty());
    CHECK(split(splitter, "b\n").empty());
    const auto events = split(splitter, "\nid: 8\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 7\ndata: ab\n\n");
    CHECK(events[0].id == "7");
    CHECK(splitter.pendingBytes() == 6);
    splitter.clear();
    CHECK(splitter.pendingBytes() == 0);
}

TEST_CASE("lines may end with carriage return and line feed, and an event may lack an id")
{
    EventSplitter splitter;
    const auto events = split(splitter, "id:9\r\ndata: x\r\n\r\ndata: y\n\n");
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "9");
    CHECK(events[1].id == "");
}

TEST_CASE("events do not depend on how the stream is divided into chunks")
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &cuts) {
        std::string stream;
        for (int i = 1; i <= 20; ++i) {
            stream += "id: " + std::to_string(i) + "\ndata: " + std::string(static_cast<std::size_t>(i), 'd') + "\n\n";
        }
        EventSplitter splitter;
        std::string joined;
        std::size_t count = 0;
        std::size_t position = 0;
        std::size_t next = 0;
        while (position < stream.size()) {
            const std::size_t length = next < cuts.size() ? cuts[next++] % 40 : stream.size();
            for (const auto &event : split(splitter, std::string_view(stream).substr(position, length))) {
                joined += event.bytes;
                ++count;
                RC_ASSERT(event.id == std::to_string(count));
            }
            position += std::max<std::size_t>(length, length == 0 ? 0 : 1);
        }
        RC_ASSERT(joined == stream);
        RC_ASSERT(count == 20U);
    }));
}

TEST_CASE("an event with a data field is told from a comment and from an event with an id alone")
{
    EventSplitter splitter;
    splitter.append("data: a\n\n: data\n\nid: 1\n\nid: 2\ndata\n\n");
    for (const bool hasData : {true, false, false, true}) {
        const auto event = splitter.next();
        REQUIRE(event.has_value());
        CHECK(event->hasData == hasData);
    }
}
