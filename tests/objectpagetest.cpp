#include "platform/objectapi.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Cardamomhill;

TEST_CASE("a server that was removed and registered again within one answer of a watch is present, and the reverse "
          "removes it")
{
    const std::string events = R"({"store-revision":12,"events":[
        {"removed":true,"object":{"metadata":{"name":"s1","mod-revision":10},"spec":{}}},
        {"removed":false,"object":{"metadata":{"name":"s1","mod-revision":11},"spec":{}}},
        {"removed":false,"object":{"metadata":{"name":"s2","mod-revision":9},"spec":{}}},
        {"removed":true,"object":{"metadata":{"name":"s2","mod-revision":12},"spec":{}}}]})";
    const auto page = Platform::ObjectApi().parsePage("servers", events);
    REQUIRE(page.has_value());
    CHECK(page.value().removed == std::vector<std::string>{"s2"});
    REQUIRE(page.value().objects.size() == 1);
    CHECK(page.value().objects.front().key.name == "s1");
    CHECK(page.value().objects.front().version == 11);
}
