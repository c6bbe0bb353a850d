#include "platform/callheaders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

AnswerHead parsed(const std::string &name, const std::vector<std::string> &values, unsigned status = 200)
{
    HttpClientConnection::Head head;
    head.result(status);
    for (const auto &value : values) {
        head.insert(name, value);
    }
    return Platform::CallHeaders().parseAnswer(head);
}

/// Text that may stand in a header.
rc::Gen<std::string> headerText()
{
    return rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

} // namespace

TEST_CASE("an answer states that its server is leaving with any value but 0, in any of several headers")
{
    CHECK(parsed("Server-Leaving", {"1"}).isLeaving);
    CHECK(parsed("server-leaving", {"1"}).isLeaving);
    CHECK(parsed("Server-Leaving", {"0", "1"}).isLeaving);
    CHECK(parsed("Server-Leaving", {"true"}, 503).isLeaving);
    CHECK_FALSE(parsed("Server-Leaving", {"0"}).isLeaving);
    CHECK_FALSE(parsed("Server-Leaving", {""}).isLeaving);
    CHECK_FALSE(parsed("Server-Leaving", {}).isLeaving);
    CHECK_FALSE(parsed("X-Server-Leaving", {"1"}).isLeaving);
}

TEST_CASE("no header of another name states that a server is leaving")
{
    CHECK(rc::check("other headers", [] {
        const auto value = *headerText();
        RC_ASSERT(!parsed("Connection", {value}).isLeaving);
        RC_ASSERT(!parsed("Retry-After", {value}).isLeaving);
    }));
}
