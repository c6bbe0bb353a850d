#include "platform/callheaders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

CallHead parsed(const std::string &prompt)
{
    HttpRequest request;
    request.target("/");
    request.set(boost::beast::http::field::host, "h");
    request.set("Cardamomhill-Prompt-Prefix", prompt);
    return Platform::CallHeaders().parseCall(request).value();
}

using Parts = std::vector<PromptPart>;

std::vector<std::string> idsOf(const CallHead &head)
{
    std::vector<std::string> ids;
    for (const auto id : head.sharedPromptPartIds) {
        ids.emplace_back(id);
    }
    return ids;
}

} // namespace

TEST_CASE("all parts of a prompt but the last are shared, and the tokens of all are counted")
{
    const auto head = parsed("ab:40,cd:300, ef:7");
    CHECK(head.sharedPromptParts == Parts{{"ab", 40}, {"cd", 300}});
    CHECK(head.promptTokens == 347);
    CHECK(parsed("ab:40").sharedPromptParts.empty());
    CHECK(parsed("ab:40").promptTokens == 40);
    CHECK(parsed("").sharedPromptParts.empty());
    CHECK(parsed("").promptTokens == 0);
    CHECK(parsed(" ab : 40 ,\tcd:1").sharedPromptParts == Parts{{"ab", 40}});
}

TEST_CASE("parts whose numbers of tokens are missing, malformed or too large keep their ids")
{
    const Parts unknown{{"ab", 0}};
    for (const auto *text : {"ab,x:1",
                             "ab:,x:1",
                             "ab:-3,x:1",
                             "ab:0x10,x:1",
                             "ab:1.5,x:1",
                             "ab:4294967296,x:1",
                             "ab:99999999999999999999999999,x:1",
                             "ab:1:2,x:1",
                             "ab: ,x:1"}) {
        CAPTURE(text);
        CHECK(parsed(text).sharedPromptParts == unknown);
        CHECK(parsed(text).promptTokens == 1);
    }
    CHECK(parsed("ab:4294967295,cd:4294967295,x:4294967295").promptTokens == 3 * std::uint64_t{4294967295U});
}

TEST_CASE("a part without a usable id is left out, and the place of those after it is unknown")
{
    const auto head = parsed("ab:40,:50,cd:60,x:1");
    CHECK(head.sharedPromptParts == Parts{{"ab", 40}, {"cd", 0}});
    CHECK(head.promptTokens == 151);
    CHECK(parsed(std::string(65, 'a') + ":1,b:2,x:3").sharedPromptParts == Parts{{"b", 0}});
    CHECK(parsed(",,,").sharedPromptParts.empty());
}

TEST_CASE("of 10,000 parts a limited number is kept")
{
    std::string text;
    for (int i = 0; i < 10'000; ++i) {
        text += std::to_string(i % 10) + ":3,";
    }
    const auto head = parsed(text + "last:5");
    CHECK(head.sharedPromptParts.size() == 64);
    CHECK(head.sharedPromptParts.back() == PromptPart{"3", 3});
    CHECK(head.promptTokens == 30'005);
}

TEST_CASE("no header ends the process, and no part has an id that is empty or too long")
{
    CHECK(rc::check("odd headers", [] {
        const auto head
            = parsed(*rc::gen::container<std::string>(rc::gen::element(',', ':', 'a', '9', ' ', '-', '\t')));
        for (const auto &part : head.sharedPromptParts) {
            RC_ASSERT(!part.id.empty());
            RC_ASSERT(part.id.size() <= 64U);
            RC_ASSERT(part.tokens <= head.promptTokens);
        }
    }));
}

TEST_CASE("all parts have an id that stays the same, whatever their number and the length of their ids")
{
    std::string text;
    std::vector<std::string> expected;
    expected.reserve(4000);
    for (int i = 0; i < 4000; ++i) {
        expected.push_back("p" + std::to_string(i));
        text += expected.back() + ":3,";
    }
    CHECK(idsOf(parsed(text + "last:5")) == expected);
    const std::string longest(PromptPartIds::MaxIdLength, 'a');
    CHECK(idsOf(parsed(longest + ":1,:2,b:2,x:3")) == std::vector<std::string>{longest, "b"});
    const auto digests = idsOf(parsed(longest + "a:1," + longest + "b:1," + longest + "a:7,a b:1,\xff:1,x:3"));
    REQUIRE(digests.size() == 5);
    CHECK(digests[0] == digests[2]);
    CHECK(std::set<std::string>(digests.begin(), digests.end()).size() == 4);
    for (const auto &digest : digests) {
        CHECK(digest.size() <= PromptPartIds::MaxIdLength);
        CHECK(digest.find(' ') == std::string::npos);
    }
    CHECK(idsOf(parsed("a:1")).empty());
    CHECK(parsed(",,a:1").sharedPromptPartIds.isEmpty());
}
