#include "platform/objectapi.h"
#include "platform/store.h"

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

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Specs that cannot be parsed.
std::vector<std::string> unreadableSpecs()
{
    return {nested(100'000),
            R"({"slots":1e999})",
            "{\"service\":\"\xff\xfe\"}",
            R"({"service":"\ud800"})",
            R"({"service":"sh)",
            R"({"service":"shop")",
            R"({"service":[1)",
            R"({"service":"shop"}})",
            "\xff"};
}

std::string itemOf(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","mod-revision":7},"spec":)" + spec + "}";
}

} // namespace

TEST_CASE("an unreadable item of a list leaves the others, and its object is known to be there")
{
    for (const auto &spec : unreadableSpecs()) {
        const auto body = R"({"items":[)" + itemOf("a", "{}") + "," + itemOf("odd", spec) + ","
            + itemOf("b", R"({"x":1})") + R"(],"has-more":false,"store-revision":12})";
        const auto page = Platform::ObjectApi().parsePage("servers", body);
        REQUIRE_MESSAGE(page.has_value(), spec.substr(0, 40));
        CHECK(page.value().revision.number == 12);
        CHECK(page.value().unreadableCount == 0);
        REQUIRE(page.value().objects.size() == 3);
        CHECK(page.value().objects[1].key.name == "odd");
        CHECK(Platform::Store().parseServer(page.value().objects[1]).has_error());
        CHECK(page.value().objects[2].value == R"({"x":1})");
    }
}

TEST_CASE("an unreadable event of a watch leaves the others, and its object is known to have changed")
{
    for (const auto &spec : unreadableSpecs()) {
        const auto body = R"({"events":[{"object":)" + itemOf("odd", spec)
            + R"(,"removed":false},{"removed":false,"object":)" + itemOf("b", "{}") + R"(},{"removed":true,"object":)"
            + itemOf("c", spec) + R"(}],"store-revision":12})";
        const auto page = Platform::ObjectApi().parsePage("servers", body);
        REQUIRE_MESSAGE(page.has_value(), spec.substr(0, 40));
        CHECK(page.value().revision.number == 12);
        REQUIRE(page.value().objects.size() == 2);
        CHECK(page.value().objects[0].key.name == "odd");
        CHECK(Platform::Store().parseServer(page.value().objects[0]).has_error());
        CHECK(page.value().objects[1].key.name == "b");
        CHECK(page.value().removed == std::vector<std::string>{"c"});
    }
}

TEST_CASE("an item whose name cannot be read is left out and counted")
{
    for (const std::string odd : {"7",
                                  R"("no object")",
                                  "{}",
                                  R"({"metadata":{"mod-revision":7},"spec":{}})",
                                  R"({"metadata":{"name":7,"mod-revision":7},"spec":{}})",
                                  "{\"metadata\":{\"name\":\"\xff\"},\"spec\":{}}"}) {
        const auto body = R"({"items":[)" + odd + "," + itemOf("b", "{}") + R"(],"store-revision":12})";
        const auto page = Platform::ObjectApi().parsePage("servers", body);
        REQUIRE(page.has_value());
        CHECK(page.value().unreadableCount == 1);
        CHECK(page.value().objects.size() == 1);
    }
}

TEST_CASE("an object without a readable spec is known to be there")
{
    for (const std::string odd : {R"({"metadata":{"name":"s","mod-revision":7}})",
                                  R"({"metadata":{"name":"s","mod-revision":-7},"spec":{"service":)"}) {
        const auto page = Platform::ObjectApi().parsePage("servers", R"({"store-revision":12,"items":[)" + odd + "]}");
        REQUIRE(page.has_value());
        REQUIRE(page.value().objects.size() == 1);
        CHECK(Platform::Store().parseServer(page.value().objects[0]).has_error());
    }
}

TEST_CASE("a page without a readable revision is rejected")
{
    for (const std::string revision : {"-1", "1e999", "\"12\"", "1.5", "18446744073709551616"}) {
        CHECK(Platform::ObjectApi()
                  .parsePage("servers", R"({"items":[],"store-revision":)" + revision + "}")
                  .has_error());
    }
}
