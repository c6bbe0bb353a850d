#include "core/parsejson.h"

#include "core/jsonfield.h"
#include "objectstore/operationhistory.h"
#include "objectstore/platformobject.h"
#include "platform/engine.h"
#include "platform/store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Cardamomhill;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

JsonErrorCode errorOf(std::string_view text)
{
    const auto result = parseJson(text);
    REQUIRE(result.has_error());
    return result.error().code;
}

} // namespace

TEST_CASE("a text is parsed down to the greatest depth and rejected with a typed error beyond it")
{
    CHECK(parseJson(nested(MaxJsonDepth)).has_value());
    CHECK(errorOf(nested(MaxJsonDepth + 1)) == JsonErrorCode::TooDeep);
    CHECK(errorOf(nested(100'000)) == JsonErrorCode::TooDeep);
    CHECK(errorOf(std::string(1'000'000, '[')) == JsonErrorCode::TooDeep);
    // Brackets within strings are no nesting.
    CHECK(parseJson('"' + std::string(1000, '[') + '"').has_value());
    CHECK(parseJson(R"(["\")" + std::string(1000, '{') + R"(\\",{}])").has_value());
}

TEST_CASE("a text with errors is rejected with a typed error, which contains nothing of the text")
{
    CHECK(errorOf("1e999") == JsonErrorCode::NumberTooLarge);
    CHECK(errorOf("\"\xff\xfe\"") == JsonErrorCode::Malformed);
    CHECK(errorOf(R"("\ud800")") == JsonErrorCode::Malformed);
    CHECK(errorOf(R"({"service":"sh)") == JsonErrorCode::Malformed);
    CHECK(errorOf("") == JsonErrorCode::Malformed);
    CHECK(parseJson('"' + std::string(100'000, 'x')).error().message().size() < 60);
}

TEST_CASE("random brackets, quotes and bytes are parsed or rejected, and what is parsed can be dumped")
{
    const bool holds = rc::check("any text", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::weightedOneOf<char>({{6, rc::gen::element('[', ']', '{', '}', '"', '\\', ':', ',', '1', 'e')},
                                          {1, rc::gen::arbitrary<char>()}}));
        const auto deep = std::string(*rc::gen::inRange(0, 100), '[') + text;
        for (const auto &candidate : {text, deep}) {
            const auto parsed = parseJson(candidate);
            if (parsed.has_value() || parsed.error().code == JsonErrorCode::Malformed) {
                RC_ASSERT(parsed.has_value() == nlohmann::json::accept(candidate));
            }
            if (parsed.has_value()) {
                RC_ASSERT(!parsed.value().dump().empty());
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("a field of another type counts as missing")
{
    CHECK(jsonString(parseJson(R"({"host":"a"})").value(), "host") == "a");
    CHECK(jsonString(parseJson(R"({"host":7})").value(), "host").empty());
    CHECK(jsonString(parseJson("7").value(), "host").empty());
}

TEST_CASE("a deeply nested object, answer or history is rejected wherever it is read")
{
    const std::string deep = R"({"x":)" + nested(100'000) + "}";
    const PlatformObject object{{"servers", "s1"}, 7, deep};
    CHECK(Platform::Store().parseServer(object).has_error());
    CHECK(Platform::Store().parseConfiguration(object).has_error());
    CHECK(Platform::Engine().parseState(deep).has_error());
    CHECK(Platform::Engine().parseCounts(deep).has_error());
    CHECK(Platform::Engine().parseHeldExperts(deep).has_error());
    CHECK(toVersionedObject(object).has_error());
    CHECK(OperationHistory::fromObject(object).current() == "version:7");
}
