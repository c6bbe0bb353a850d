#include "explain/explain.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

using namespace Cardamomhill;

namespace
{

std::string printed(const RequestHistory &history)
{
    std::ostringstream out;
    history.print(out);
    return out.str();
}

} // namespace

TEST_CASE("a line is parsed with quoted values and with text that a log collector put before it")
{
    const auto line = parseLogLine(
        R"(  34.2 front-1 2026-01-12 06:59:14,238 INFO event=attempt-ended request=7d cause="a \"b\" c=d" end=broken)");
    REQUIRE(line.has_value());
    CHECK(line.value().time == "2026-01-12 06:59:14,238");
    CHECK(line.value().source == "front-1");
    CHECK(line.value().event == "attempt-ended");
    CHECK(line.value().field("cause") == R"(a "b" c=d)");
    CHECK(line.value().field("end") == "broken");
    CHECK(line.value().field("none").empty());
}

TEST_CASE("lines of several processes in one file are assigned to the process that the log collector named")
{
    RequestHistory history("r1");
    history.addLine("all.log", " 1.0 front-1 2026-01-12 06:59:13,000 INFO event=configuration-in-force version=3");
    history.addLine("all.log", " 1.0 front-2 2026-01-12 06:59:13,500 INFO event=configuration-in-force version=4");
    history.addLine("all.log", " 2.0 front-1 2026-01-12 06:59:14,000 INFO event=refused request=r1 status=401");
    const auto text = printed(history);
    CHECK(text.find("state of front-1") != std::string::npos);
    CHECK(text.find("version=3") != std::string::npos);
    CHECK(text.find("version=4") == std::string::npos);
}

TEST_CASE("lines of other programs and truncated lines give different errors")
{
    CHECK(parseLogLine("Discarded 3 messages").error() == LogLineError::Foreign);
    CHECK(parseLogLine("").error() == LogLineError::Foreign);
    CHECK(parseLogLine("12:00 INFO event=routed request=1").error() == LogLineError::Truncated);
    const std::string whole = "2026-01-12 06:59:14,238 INFO event=ended cause=\"a b\" total_ms=5";
    CHECK(parseLogLine(whole).has_value());
    CHECK(parseLogLine(whole.substr(0, whole.find(" b"))).error() == LogLineError::Truncated);
    CHECK(parseLogLine(whole.substr(0, whole.find("=5"))).error() == LogLineError::Truncated);
    CHECK(rc::check([](const std::string &text) { RC_ASSERT(parseLogLine(text).has_error()); }));
}

TEST_CASE("the lines of a request are printed in order of time across processes, with explanations and process state")
{
    RequestHistory history("r1");
    history.addLine("b.log", "2026-01-12 06:59:15,000 INFO event=routed request=r1 server=s2 reason=least-loaded");
    history.addLine("a.log", "2026-01-12 06:59:13,000 INFO event=configuration-in-force version=3");
    history.addLine("a.log", "2026-01-12 06:59:13,100 INFO event=configuration-in-force version=4");
    history.addLine("a.log", "2026-01-12 06:59:13,100 INFO event=server-present server=s1 service=x");
    history.addLine("a.log", "2026-01-12 06:59:13,100 INFO event=server-present server=s9 service=x");
    history.addLine("a.log", "2026-01-12 06:59:14,000 INFO event=routed request=r1 server=s1 reason=least-loaded");
    history.addLine("a.log", "2026-01-12 06:59:14,100 WARN event=unreachable-domains failure_domains=d2");
    history.addLine("a.log",
                    "2026-01-12 06:59:14,200 INFO event=retry-decided request=r1 after=broken verdict=budget-empty");
    history.addLine("a.log", "2026-01-12 06:59:16,000 INFO event=cut-off calls=1");
    history.addLine("a.log", "2026-01-12 06:59:14,000 INFO event=routed request=r2 server=s1 reason=least-loaded");
    history.addLine("a.log", "Discarded 12 messages");
    REQUIRE(history.hasRequest());
    const auto text = printed(history);
    CHECK(text.find("server=s1") < text.find("verdict=budget-empty"));
    CHECK(text.find("verdict=budget-empty") < text.find("server=s2"));
    CHECK(text.find("used up its share of the retry budget") != std::string::npos);
    CHECK(text.find("version=4") != std::string::npos);
    CHECK(text.find("version=3") == std::string::npos);
    CHECK(text.find("failure_domains=d2") > text.find("changes until its last line about the request"));
    CHECK(text.find("s9") == std::string::npos);
    CHECK(text.find("cut-off") == std::string::npos);
    CHECK(text.find("r2") == std::string::npos);
    CHECK(text.find("1 foreign lines were left out") != std::string::npos);
    CHECK_FALSE(RequestHistory("r9").hasRequest());
}

TEST_CASE(
    "a stream that another server continued beside a silent one is explained, with the changes that a watch missed")
{
    RequestHistory history("r1");
    history.addLine("a.log", "2026-01-12 06:59:13,000 WARN event=watch-missed-changes kind=servers revision=7");
    history.addLine("a.log", "2026-01-12 06:59:13,500 INFO event=routed request=r1 server=s1 reason=least-loaded");
    history.addLine("a.log", "2026-01-12 06:59:14,000 INFO event=continuation-begun request=r1 silent=s1 cause=silent");
    history.addLine("a.log", "2026-01-12 06:59:15,000 INFO event=attempt-ended request=r1 server=s1 end=superseded");
    const auto text = printed(history);
    CHECK(text.find("revision=7") != std::string::npos);
    CHECK(text.find("another one was asked to continue the stream") != std::string::npos);
    CHECK(text.find("which ran beside this one, delivered the answer") != std::string::npos);
}
