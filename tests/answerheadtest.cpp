#include "net/retryafter.h"
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

TEST_CASE("an answer states how much longer its server is cold, or nothing that can be read")
{
    const auto remaining
        = [](const std::string &value) { return parsed("Cardamomhill-Cold-Remaining", {value}).coldRemaining; };
    CHECK(remaining("4200") == Milliseconds(4200));
    CHECK(remaining("4199.5") == Milliseconds(4200));
    CHECK(remaining("-7") == Milliseconds(0));
    CHECK(remaining("1e30") == Seconds(24 * 3600));
    for (const auto *odd : {"", "x", "4200 ms", "nan", "0x10"}) {
        CHECK_MESSAGE(!remaining(odd).has_value(), odd);
    }
}

TEST_CASE("no header of another name states that a server is leaving")
{
    CHECK(rc::check("other headers", [] {
        const auto value = *headerText();
        RC_ASSERT(!parsed("Connection", {value}).isLeaving);
        RC_ASSERT(!parsed("Retry-After", {value}).isLeaving);
    }));
}

TEST_CASE("the time that a server wants no calls is stated in seconds with or without a fraction, or by a date")
{
    CHECK(parsed("Retry-After", {"2"}, 503).holdTime() == Milliseconds(2000));
    CHECK(parsed("Retry-After", {"0.25"}, 503).holdTime() == Milliseconds(250));
    CHECK(parsed("Retry-After", {"1."}, 503).holdTime() == Milliseconds(1000));
    CHECK(parsed("Retry-After", {"0"}, 503).holdTime() == Milliseconds(0));
    const auto now = parseHttpDate("Sun, 06 Nov 1994 08:49:37 GMT");
    REQUIRE(now.has_value());
    CHECK(now->time_since_epoch() == Seconds(784111777));
    CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:49:40 GMT", *now) == Milliseconds(3000));
    CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:49:30 GMT", *now) == Milliseconds(0));
    HttpClientConnection::Head head;
    head.result(503U);
    head.set("Date", "Sun, 06 Nov 1994 08:49:37 GMT");
    head.set("Retry-After", "Sun, 06 Nov 1994 08:49:39 GMT");
    CHECK(Platform::CallHeaders().parseAnswer(head).holdTime() == Milliseconds(2000));
}

TEST_CASE("other statuses, and malformed and negative times, state no time without calls, and huge ones are limited")
{
    CHECK_FALSE(parsed("Retry-After", {"2"}, 429).holdTime().has_value());
    CHECK_FALSE(parsed("Retry-After", {"2"}, 200).holdTime().has_value());
    CHECK_FALSE(parsed("Retry-After", {}, 503).holdTime().has_value());
    for (const auto *text : {"",
                             "-1",
                             "+1",
                             ".5",
                             ".",
                             "1e9",
                             "inf",
                             "nan",
                             "1.2.3",
                             "2 s",
                             "0x10",
                             "soon",
                             "Sun, 06 Nov 1994 08:49:37",
                             "Sun, 06 Nov 1994 08:49:37 GMT+1",
                             "Sun, 99 Nov 1994 08:49:37 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(parsed("Retry-After", {text}, 503).holdTime().has_value());
    }
    const Milliseconds day = Seconds(24 * 3600);
    CHECK(parsed("Retry-After", {"99999999999999999999999999"}, 503).holdTime() == day);
    CHECK(parsed("Retry-After", {std::string(500, '9')}, 503).holdTime() == day);
    CHECK(parseRetryAfter("Fri, 31 Dec 9999 23:59:59 GMT", {}) == day);
}

TEST_CASE("any value of Retry-After gives no time or one between 0 and a day, and a number gives itself")
{
    CHECK(rc::check("any text", [] {
        const auto time = parsed("Retry-After", {*headerText()}, 503).holdTime();
        RC_ASSERT(!time || (*time >= Milliseconds(0) && *time <= Seconds(24 * 3600)));
    }));
    CHECK(rc::check("digits and points", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::element('0', '1', '9', '.'));
        const auto time = parsed("Retry-After", {text}, 503).holdTime();
        RC_ASSERT(!time || (*time >= Milliseconds(0) && *time <= Seconds(24 * 3600)));
    }));
    CHECK(rc::check("numbers", [] {
        const auto thousandths = *rc::gen::inRange(0, 86'400'000);
        const auto fraction = std::to_string(1000 + thousandths % 1000).substr(1);
        const auto text = std::to_string(thousandths / 1000) + "." + fraction;
        const auto time = parsed("Retry-After", {text}, 503).holdTime();
        RC_ASSERT(time.has_value());
        // Rounding up in a double may add one.
        RC_ASSERT(time->count() - thousandths >= 0);
        RC_ASSERT(time->count() - thousandths <= 1);
    }));
}

TEST_CASE("the media type of an answer has no parameters and no capitals")
{
    CHECK(parsed("Content-Type", {"text/event-stream"}).mediaType == "text/event-stream");
    CHECK(parsed("Content-Type", {"Text/Event-Stream ; charset=utf-8"}).mediaType == "text/event-stream");
    CHECK(parsed("Content-Type", {"text/plain"}).mediaType == "text/plain");
    CHECK(parsed("Content-Type", {}).mediaType.empty());
}
