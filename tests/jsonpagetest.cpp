#include "core/jsonpage.h"

#include "core/jsonstructure.h"
#include "core/parsejson.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

const JsonPageNames Names{{"items"}, {"metadata", "spec"}};

std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
}

std::string pageOf(const std::vector<std::string> &items)
{
    std::string text = R"({"has-more":false, "items": [)";
    for (const auto &element : items) {
        text += (&element == &items.front() ? "" : ",") + element;
    }
    return text + R"(], "store-revision":12})";
}

std::vector<std::string> textsOf(const JsonPage &page)
{
    return {page.elements.begin(), page.elements.end()};
}

/// Any JSON value, down to a small depth.
rc::Gen<nlohmann::json> anyValue(int depth)
{
    auto leaf = rc::gen::oneOf(
        rc::gen::map(rc::gen::arbitrary<int>(), [](int number) { return nlohmann::json(number); }),
        rc::gen::map(rc::gen::container<std::string>(rc::gen::element('"', '\\', '{', '}', '[', ']', ',', 'a')),
                     [](const std::string &text) { return nlohmann::json(text); }),
        rc::gen::just(nlohmann::json(nullptr)));
    if (depth == 0) {
        return leaf;
    }
    return rc::gen::oneOf(
        leaf,
        rc::gen::map(rc::gen::container<std::vector<nlohmann::json>>(anyValue(depth - 1)),
                     [](const std::vector<nlohmann::json> &values) { return nlohmann::json(values); }),
        rc::gen::map(anyValue(depth - 1), [](const nlohmann::json &value) {
            return nlohmann::json{{"a\"b", value}, {"", value}};
        }));
}

} // namespace

TEST_CASE("the end of a value is found exactly, whatever is in its strings and whatever follows")
{
    const bool holds = rc::check("end of a value", [] {
        const auto text = (*anyValue(3)).dump(*rc::gen::element(-1, 1));
        const auto following = *rc::gen::element<std::string>("", ",1", "]", "}", " ,{\"a\":1}");
        RC_ASSERT(endOfValue(text + following, 0) == text.size());
    });
    CHECK(holds);
}

TEST_CASE("a value without an end has none, and one that is nested deeper than the limit neither")
{
    for (const auto *text : {"",
                             "{",
                             "[",
                             "[1",
                             "[1,",
                             "[1,]",
                             R"({"a")",
                             R"({"a":)",
                             R"({"a":1)",
                             R"({"a":1,)",
                             "\"a",
                             "\"a\\\"",
                             "[1}",
                             R"({"a":1])",
                             R"({1:1})",
                             ",",
                             "}"}) {
        CHECK_MESSAGE(endOfValue(text, 0) == std::string_view::npos, text);
    }
    CHECK(endOfValue("[[1]]", 0, 2) == 5);
    CHECK(endOfValue("[[1]]", 0, 1) == std::string_view::npos);
    const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    CHECK(endOfValue(deep, 0) == deep.size());
}

TEST_CASE("members before a break in the structure are found, the last one's value to the end of the text")
{
    const auto members = membersOf(R"({"metadata":{"name":"a"},"spec":{"service":"sh)");
    CHECK_FALSE(members.isWhole);
    CHECK(members.value("metadata") == R"({"name":"a"})");
    CHECK(members.value("spec") == R"({"service":"sh)");
    CHECK(membersOf(R"({"a":1,"a":2} )").isWhole);
    CHECK(membersOf(R"({"a":1,"a":2} )").value("a") == "2");
    CHECK(membersOf("{}").isWhole);
    CHECK_FALSE(membersOf("[]").isWhole);
    CHECK_FALSE(membersOf("{}}").isWhole);
}

TEST_CASE("an element that cannot be parsed leaves the others and the rest of the page as they are")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string &odd : {deep,
                                   std::string("1e999"),
                                   std::string("\"\xff\""),
                                   std::string(R"("\ud800")"),
                                   std::string(R"({"service":"sh)"),
                                   std::string(R"({"service":"shop")"),
                                   std::string(R"({"service":)"),
                                   std::string(R"({"a":[1)"),
                                   std::string(R"({"a":1}})"),
                                   std::string(R"({"a":1]})"),
                                   std::string(R"({"a":1}}])"),
                                   std::string(R"({"a":1}}]})"),
                                   std::string("\"a"),
                                   std::string("\xff\xfe"),
                                   std::string(""),
                                   std::string("{\"a\\")}) {
        const auto first = item("first", R"({"a":"]},{"})");
        const auto last = item("last", "{}");
        for (const auto &items :
             std::vector<std::vector<std::string>>{{item("odd", odd), first, last},
                                                   {first, item("odd", odd), last},
                                                   {first, last, item("odd", odd)},
                                                   {first, item("odd", odd), item("odd", odd), last}}) {
            const auto text = pageOf(items);
            const auto page = splitPage(text, Names);
            REQUIRE_MESSAGE(page.has_value(), text.substr(0, 200));
            CHECK(page.value().envelope == nlohmann::json{{"has-more", false}, {"store-revision", 12}});
            CHECK_MESSAGE(textsOf(page.value()) == items, text.substr(0, 200));
        }
    }
}

TEST_CASE("any sound items around one with any bytes are found, whatever these bytes are")
{
    const bool holds = rc::check("items around random bytes", [] {
        const auto before = item("before", (*anyValue(2)).dump());
        const auto after = item("after", (*anyValue(2)).dump());
        const auto odd = *rc::gen::container<std::string>(
            rc::gen::weightedOneOf<char>({{5, rc::gen::element('[', ']', '{', '}', '\\', ':', ',', '1', 'e')},
                                          {1, rc::gen::just('"')},
                                          {1, rc::gen::arbitrary<char>()}}));
        const auto text = pageOf({before, item("odd", odd), after});
        const auto page = splitPage(text, Names);
        RC_ASSERT(page.has_value());
        RC_ASSERT(page.value().envelope["store-revision"] == 12);
        const auto texts = textsOf(page.value());
        RC_ASSERT(std::find(texts.begin(), texts.end(), before) != texts.end());
        RC_ASSERT(std::find(texts.begin(), texts.end(), after) != texts.end());
    });
    CHECK(holds);
}

TEST_CASE("a string with surrogates that have no pair is repaired, and any other stays as it is")
{
    CHECK(replaceLoneSurrogates(R"("a\ud800b")") == R"("a\ufffdb")");
    CHECK(rc::check("escapes in any order", [] {
        const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
            R"(\ud800)", R"(\uDBFF)", R"(\udc00)", R"(\ud83d\ude00)", R"(\u0041)", R"(\\)", R"(\")", "ud800", "a"));
        std::string text = "\"";
        for (const auto &part : parts) {
            text += part;
        }
        text += '"';
        RC_ASSERT(parseJson(replaceLoneSurrogates(text)).has_value());
        RC_ASSERT(parseJson(text).has_error() || replaceLoneSurrogates(text) == text);
    }));
    // Whatever it is given, it returns.
    for (const std::string broken : {"", "\\", "\\u", "\\ud8", "\"\\ud800\\u", "\\ud800\\ud800"}) {
        CHECK(replaceLoneSurrogates(broken).size() >= std::min<std::size_t>(broken.size(), 1));
    }
}

TEST_CASE("an array that is empty, last, missing or not an array is accepted")
{
    for (const auto *text : {R"({"items":[],"store-revision":12})",
                             R"({"store-revision":12,"items":[]})",
                             R"({"store-revision":12})",
                             R"( { "items" : [ ] , "store-revision" : 12 } )"}) {
        const auto page = splitPage(text, Names);
        REQUIRE(page.has_value());
        CHECK(page.value().envelope["store-revision"] == 12);
        CHECK(page.value().elements.empty());
    }
    CHECK(splitPage(R"({"items":null,"store-revision":12})", Names).value().elements.empty());
}

TEST_CASE("a page whose other members cannot be read is rejected, and arbitrary text ends no process")
{
    for (const auto *text : {"",
                             "[]",
                             "7",
                             "{",
                             R"({"items":[)",
                             R"({"items":[{"spec":1})",
                             R"({"items":[]"store-revision":12})",
                             R"({"store-revision":1e999,"items":[]})"}) {
        const auto page = splitPage(text, Names);
        CHECK_MESSAGE((page.has_error() || !page.value().envelope.contains("store-revision")), text);
    }
    const bool holds = rc::check("any text", [] {
        const auto text
            = *rc::gen::container<std::string>(rc::gen::element('[', ']', '{', '}', '"', '\\', ':', ',', '1', ' '));
        const auto page = splitPage(R"({"items":[)" + text, Names);
        RC_ASSERT(page.has_value() || page.has_error());
    });
    CHECK(holds);
}

TEST_CASE("the time to split a page full of unclosed elements is proportional to its length")
{
    std::string odd;
    while (odd.size() < 1'000'000) {
        odd += R"(,{"spec":[0)";
    }
    // Takes a minute if each element is read to the end of the text.
    CHECK(splitPage(pageOf({item("odd", odd), item("last", "{}")}), Names).has_value());
}
