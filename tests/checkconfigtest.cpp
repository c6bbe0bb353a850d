#include "configcheck/configcheck.h"
#include "platform/documents.h"
#include "platform/store.h"
#include "soak/documents.h"
#include "support/configurationdocuments.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

using Json = nlohmann::json;
using Lines = std::vector<std::string>;

ConfigurationDocument parsed(const Json &document)
{
    return Platform::Documents().parseDocument(document.dump()).value();
}

Lines linesOf(const Findings &findings)
{
    Lines lines;
    for (const auto &finding : findings) {
        lines.push_back(textOf(finding));
    }
    return lines;
}

Lines check(const Json &document, const ProcessLimits *limits = nullptr)
{
    return linesOf(checkConfiguration(parsed(document), Platform::Documents(), limits));
}

Lines compare(const Json &oldDocument, const Json &newDocument)
{
    return linesOf(compareConfigurations(parsed(oldDocument), parsed(newDocument), Platform::Documents()));
}

/// The sound document with the next version, so that gateways would take it.
Json nextDocument()
{
    return documentWith("/version", 8);
}

/// The default settings of a gateway.
ProcessLimits defaultLimits()
{
    ProcessLimits limits;
    limits.bodyBudgetBytes = std::uint64_t{16} * 1024 * 1024 * 1024;
    limits.retries.ratio = 0.2;
    limits.retries.slack = 100;
    return limits;
}

} // namespace

// Guards against an operator who no longer reads findings because sound documents have some.
TEST_CASE("a sound document has no findings, and none compared with itself")
{
    const auto limits = defaultLimits();
    CHECK(check(soundDocument()).empty());
    CHECK(check(soundDocument(), &limits).empty());
    CHECK(check(Json::parse(configurationDocument(3)), &limits).empty());
    CHECK(check(Json::parse(R"({"version":1,"routes":[],"services":[]})")).empty());
    CHECK(compare(soundDocument(), soundDocument()).empty());
    CHECK(compare(soundDocument(), nextDocument()).empty());
}

// Guards against a check that accepts what gateways reject, or the reverse.
TEST_CASE("each field that a gateway rejects is reported with its path, and the gateway rejects the document")
{
    struct Example {
        std::string pointer;
        Json value;
        std::string line;
    };
    const std::vector<Example> examples{
        {"/version", -1, "path=version reason=out-of-range"},
        {"/version", "7", "path=version reason=out-of-range"},
        {"/routes", 7, "path=routes[0] reason=wrong-type"},
        {"/routes/1", nullptr, "path=routes[1] reason=wrong-type"},
        {"/routes/1/name", 7, "path=routes[1].name reason=wrong-type"},
        {"/routes/1/hostname", nullptr, "path=routes[1].hostname reason=wrong-type"},
        {"/routes/2/timeout-ms", -1, "path=routes[2].timeout-ms reason=out-of-range"},
        {"/routes/2/timeout-ms", 1e30, "path=routes[2].timeout-ms reason=out-of-range"},
        {"/routes/0/target-latency-ms", nullptr, "path=routes[0].target-latency-ms reason=out-of-range"},
        {"/routes/0/path-prefix", 7, "path=routes[0].path-prefix reason=wrong-type"},
        {"/routes/0/route-type", 7, "path=routes[0].route-type reason=wrong-type"},
        {"/routes/0/service", 7, "path=routes[0].service reason=wrong-type"},
        {"/routes/2/gap-target-ms", "fast", "path=routes[2].gap-target-ms reason=out-of-range"},
        {"/routes/0/priority", 0.5, "path=routes[0].priority reason=out-of-range"},
        {"/routes/0/max-attempts", 4294967296, "path=routes[0].max-attempts reason=out-of-range"},
        {"/routes/0/public", "yes", "path=routes[0].public reason=wrong-type"},
        {"/routes/0/stream-resume", 1, "path=routes[0].stream-resume reason=wrong-type"},
        {"/routes/2/traffic-split/1/weight", -3, "path=routes[2].traffic-split[1].weight reason=out-of-range"},
        {"/routes/2/traffic-split/1", "chat", "path=routes[2].traffic-split[1] reason=wrong-type"},
        {"/services/0/max-connections", -1, "path=services[0].max-connections reason=out-of-range"},
        {"/services/0/cold-start-s", -1, "path=services[0].cold-start-s reason=out-of-range"},
        {"/services/0/cold-per-s", 1e10, "path=services[0].cold-per-s reason=out-of-range"},
        {"/services/0/name", 7, "path=services[0].name reason=wrong-type"},
        {"/services/1/engine", nullptr, "path=services[1].engine reason=wrong-type"},
        {"/services/1/engine/slots", 0.5, "path=services[1].engine.slots reason=out-of-range"},
        {"/services/1/engine/usual/answer", "9", "path=services[1].engine.usual.answer reason=out-of-range"},
        {"/services/1/engine", 7, "path=services[1].engine reason=wrong-type"},
        {"/services/1/engine/step_ms", "20", "path=services[1].engine.step_ms reason=wrong-type"},
        {"/services/1/engine/usual/prompt", -1, "path=services[1].engine.usual.prompt reason=out-of-range"},
        {"/limits/max-body-bytes", -1, "path=limits.max-body-bytes reason=out-of-range"},
        {"/limits/max-header-bytes", -1, "path=limits.max-header-bytes reason=out-of-range"},
        {"/limits/header-timeout-ms", -1, "path=limits.header-timeout-ms reason=out-of-range"},
        {"/limits/idle-timeout-ms", -1, "path=limits.idle-timeout-ms reason=out-of-range"},
        {"/tenants/1/name", nullptr, "path=tenants[1].name reason=wrong-type"},
        {"/tenants/1/priority", -1, "path=tenants[1].priority reason=out-of-range"},
        {"/tenants/1/api-keys/0", 7, "path=tenants[1].api-keys[0] reason=wrong-type"},
    };
    for (const auto &example : examples) {
        const auto document = documentWith(example.pointer, example.value);
        const auto lines = check(document);
        REQUIRE_MESSAGE(!lines.empty(), example.pointer);
        CHECK(lines.front() == "finding=field-rejected " + example.line);
        const auto gateway = Platform::Store().parseConfiguration({{"config", "main"}, 7, document.dump()});
        REQUIRE_MESSAGE(gateway.has_error(), example.pointer);
        CHECK(example.line.starts_with("path=" + gateway.error().cause + " "));
    }
}

TEST_CASE("each required field that is missing is reported, all of them in one go")
{
    CHECK(check(Json::array()) == Lines{"finding=field-rejected reason=wrong-type"});
    CHECK(check(Json::object())
          == Lines{"finding=field-rejected path=version reason=missing",
                   "finding=field-rejected path=routes reason=missing",
                   "finding=field-rejected path=services reason=missing"});
    const auto checkRequired = [](const std::string &parent, const std::string &name, const std::string &path) {
        auto document = soundDocument();
        document[Json::json_pointer(parent)].erase(name);
        CHECK(check(document).front() == "finding=field-rejected path=" + path + " reason=missing");
        const auto gateway = Platform::Store().parseConfiguration({{"config", "main"}, 7, document.dump()});
        REQUIRE_MESSAGE(gateway.has_error(), path);
        CHECK(gateway.error().cause == path);
    };
    checkRequired("", "version", "version");
    checkRequired("", "routes", "routes");
    checkRequired("", "services", "services");
    checkRequired("/routes/0", "hostname", "routes[0].hostname");
    checkRequired("/routes/0", "path-prefix", "routes[0].path-prefix");
    checkRequired("/routes/0", "route-type", "routes[0].route-type");
    checkRequired("/routes/0", "service", "routes[0].service");
    checkRequired("/routes/2/traffic-split/0", "service", "routes[2].traffic-split[0].service");
    checkRequired("/routes/2/traffic-split/0", "weight", "routes[2].traffic-split[0].weight");
    checkRequired("/services/0", "name", "services[0].name");
    checkRequired("/tenants/0", "name", "tenants[0].name");
    checkRequired("/tenants/0", "api-keys", "tenants[0].api-keys");
    auto document = soundDocument();
    document["routes"][0] = Json::object();
    document["services"][0].erase("name");
    document["tenants"][0].erase("api-keys");
    CHECK(check(document)
          == Lines{"finding=field-rejected path=routes[0].hostname reason=missing",
                   "finding=field-rejected path=routes[0].path-prefix reason=missing",
                   "finding=field-rejected path=routes[0].route-type reason=missing",
                   "finding=field-rejected path=routes[0].service reason=missing",
                   "finding=field-rejected path=services[0].name reason=missing",
                   "finding=field-rejected path=tenants[0].api-keys reason=missing"});
}

TEST_CASE("fields that a gateway ignores are reported, and the gateway accepts the document")
{
    const auto checkIgnored = [](const Json &document, const std::string &line) {
        CHECK(check(document).front() == "finding=field-ignored " + line);
        CHECK(Platform::Store().parseConfiguration({{"config", "main"}, 7, document.dump()}).has_value());
    };
    checkIgnored(documentWith("/routes/0/route-type", "once"), "path=routes[0].route-type reason=unknown-value");
    checkIgnored(documentWith("/limits", 7), "path=limits reason=wrong-type");
    checkIgnored(documentWith("/services/1/engine/usual", 7), "path=services[1].engine.usual reason=wrong-type");
    CHECK(check(documentWith("/version", 0)) == Lines{"finding=version-not-newer path=version old=0 new=0"});
}

// Guards against a check that collects as many problems as a malformed document has bytes.
TEST_CASE("a document with very many problems is reported up to a limit and not checked further")
{
    auto document = soundDocument();
    document["routes"] = Json(std::vector<int>(100'000, 0));
    const auto lines = check(document);
    CHECK(lines.size() == 1001);
    CHECK(lines.back() == "finding=problems-omitted");
}

TEST_CASE("entries that can never match are reported")
{
    auto document = soundDocument();
    document["routes"].push_back(document["routes"][0]);
    CHECK(check(document) == Lines{"finding=route-covered path=routes[0] by=routes[3]"});
    // A more specific prefix leaves calls to the other one.
    CHECK(check(documentWith("/routes/0/path-prefix", "/pay/more/")).empty());
    CHECK(check(documentWith("/routes/0/hostname", "Shop.example"))
          == Lines{"finding=host-name-unmatched path=routes[0].hostname name=Shop.example"});
    CHECK(check(documentWith("/routes/0/hostname", "shop.example:80"))
          == Lines{"finding=host-name-unmatched path=routes[0].hostname name=shop.example:80"});
    for (const std::string prefix : {"/safe", "safe/", "", "/a?b/"}) {
        const auto lines = check(documentWith("/routes/0/path-prefix", prefix));
        REQUIRE(lines.size() == 1);
        CHECK(lines[0].starts_with("finding=prefix-unmatched path=routes[0].path-prefix name="));
    }
}

TEST_CASE("routes to services that do not exist, and services to which no route leads, are reported")
{
    CHECK(check(documentWith("/routes/0/service", "shoop"))
          == Lines{"finding=service-missing path=routes[0].service name=shoop"});
    CHECK(check(documentWith("/routes/2/traffic-split/1/service", "nowhere"))
          == Lines{"finding=service-missing path=routes[2].traffic-split[1] name=nowhere",
                   "finding=service-unreached path=services[2] name=chat-next"});
    CHECK(check(documentWith("/routes/2/traffic-split/1/weight", 0))
          == Lines{"finding=split-share-zero path=routes[2].traffic-split[1] name=chat-next",
                   "finding=service-unreached path=services[2] name=chat-next"});
    CHECK(check(documentWith("/routes/2/traffic-split", Json::array())).front()
          == "finding=split-empty path=routes[2].traffic-split");
    auto document = soundDocument();
    document["services"].push_back({{"name", "shop"}});
    CHECK(check(document) == Lines{"finding=service-replaced path=services[0] by=services[3]"});
}

// Guards against findings that are only consequences of a rejected field, and vanish when it is mended.
TEST_CASE("services are not reported as missing or unreached because of what could not be read")
{
    for (const std::string pointer : {"/services/0/name",
                                      "/services/0",
                                      "/services",
                                      "/routes/2",
                                      "/routes/2/traffic-split/1",
                                      "/routes/2/traffic-split/1/service",
                                      "/routes/2/traffic-split/1/weight"}) {
        const auto lines = check(documentWith(pointer, -7));
        CHECK_MESSAGE(lines.size() == 1, pointer);
        CHECK(lines.front().starts_with("finding=field-rejected "));
    }
    // The services of a route with another rejected field are known.
    auto other = documentWith("/routes/2/timeout-ms", -7);
    other["services"].push_back({{"name", "unused"}});
    CHECK(check(other)
          == Lines{"finding=field-rejected path=routes[2].timeout-ms reason=out-of-range",
                   "finding=service-unreached path=services[3] name=unused"});
}

TEST_CASE("keys that two organisations hold, and organisations without keys, are reported without any key")
{
    CHECK(check(documentWith("/tenants/1/api-keys/0", "secret-2"))
          == Lines{"finding=key-held-twice path=tenants[0].api-keys[1] by=tenants[1]"});
    CHECK(check(documentWith("/tenants/0/api-keys/1", "secret-1")).empty());
    CHECK(check(documentWith("/tenants/1/api-keys", Json::array()))
          == Lines{"finding=organisation-without-keys path=tenants[1] name=kiosk"});
}

TEST_CASE("limits that contradict each other are reported")
{
    const std::string timeout = "limit=2000 limit-path=routes[0].timeout-ms";
    CHECK(check(documentWith("/routes/0/target-latency-ms", 2001))
          == Lines{"finding=latency-objective-above-timeout path=routes[0].target-latency-ms value=2001 " + timeout});
    CHECK(check(documentWith("/routes/0/target-latency-ms", 2000)).empty());
    CHECK(check(documentWith("/routes/2/gap-target-ms", 4001))
          == Lines{"finding=pause-objective-above-timeout path=routes[2].gap-target-ms value=4001 limit=4000 "
                   "limit-path=routes[2].timeout-ms"});
    CHECK(check(documentWith("/routes/2/gap-target-ms", 4000)).empty());
    CHECK(check(documentWith("/limits/header-timeout-ms", 15001))
          == Lines{"finding=header-timeout-above-idle-timeout path=limits.header-timeout-ms value=15001 limit=15000 "
                   "limit-path=limits.idle-timeout-ms"});
    CHECK(check(documentWith("/limits/header-timeout-ms", 15000)).empty());
    CHECK(check(documentWith("/services/0/cold-per-s", 0))
          == Lines{"finding=cold-rate-zero path=services[0].cold-per-s name=shop"});
    auto warm = documentWith("/services/0/cold-per-s", 0);
    warm["services"][0]["cold-start-s"] = 0;
    CHECK(check(warm).empty());
}

TEST_CASE("limits that contradict the settings of a gateway are reported if the settings are known")
{
    auto limits = defaultLimits();
    limits.bodyBudgetBytes = 99'999;
    CHECK(check(soundDocument(), &limits)
          == Lines{"finding=body-limit-above-budget path=limits.max-body-bytes value=100000 limit=99999"});
    limits.bodyBudgetBytes = 100'000;
    CHECK(check(soundDocument(), &limits).empty());
    limits.retries.ratio = 0;
    limits.retries.slack = 1;
    CHECK(check(soundDocument(), &limits)
          == Lines{"finding=attempts-above-retry-budget path=routes[0].max-attempts value=3 limit=2"});
    limits.retries.slack = 2;
    CHECK(check(soundDocument(), &limits).empty());
    // A call that outlasts a window can use the slack of two.
    limits.retries.slack = 1;
    limits.retries.window = Seconds(2);
    CHECK(check(soundDocument(), &limits).empty());
}

TEST_CASE("routes and services that differ from another version are reported with old and new values")
{
    auto document = nextDocument();
    document["routes"][0]["timeout-ms"] = 2500;
    document["routes"][1]["route-type"] = "idempotent";
    document["routes"][2]["traffic-split"][0]["weight"] = 2;
    document["services"][0]["cold-start-s"] = 8;
    document["services"][1]["engine"]["usual"]["answer"] = 300;
    document["limits"]["idle-timeout-ms"] = 9000;
    CHECK(compare(soundDocument(), document)
          == Lines{"finding=route-changed path=routes[2].traffic-split old=chat:3,chat-next:1 new=chat:2,chat-next:1",
                   "finding=route-changed path=routes[1].route-type old=non_idempotent new=idempotent",
                   "finding=route-changed path=routes[0].timeout-ms old=2000 new=2500",
                   "finding=service-changed path=services[1].engine.usual.answer old=200 new=300",
                   "finding=service-changed path=services[0].cold-start-s old=7.5 new=8.0",
                   "finding=limit-changed path=limits.idle-timeout-ms old=15000 new=9000"});
}

TEST_CASE("routes, services and organisations that only one of two versions has are reported")
{
    auto document = nextDocument();
    document["routes"].erase(1);
    document["services"].erase(2);
    document["tenants"].erase(1);
    const auto hasLine = [](const Lines &lines, const std::string &begin) {
        return std::any_of(
            lines.begin(), lines.end(), [&begin](const std::string &line) { return line.starts_with(begin); });
    };
    const auto removed = compare(soundDocument(), document);
    CHECK(removed.size() == 4);
    CHECK(hasLine(removed, "finding=route-removed path=routes[1] name=shop.example/pay/ old=\"name=pay,route-type="));
    CHECK(hasLine(removed, "finding=service-removed path=services[2] name=chat-next old="));
    CHECK(hasLine(removed, "finding=organisation-removed path=tenants[1] name=kiosk"));
    CHECK(hasLine(removed, "finding=keys-changed path=tenants[1].api-keys organisation=kiosk added=0 removed=1"));
    document["version"] = 6;
    const auto added = compare(document, soundDocument());
    CHECK(added.size() == 4);
    CHECK(hasLine(added, "finding=route-added path=routes[1] name=shop.example/pay/ new=\"name=pay,route-type="));
    CHECK(hasLine(added, "finding=service-added path=services[2] name=chat-next new="));
    CHECK(hasLine(added, "finding=organisation-added path=tenants[1] name=kiosk"));
    CHECK(hasLine(added, "finding=keys-changed path=tenants[1].api-keys organisation=kiosk added=1 removed=0"));
}

// Guards against differences that show the defaults of fields that could not be read.
TEST_CASE("the fields of an entry that could not be read are not compared")
{
    auto document = nextDocument();
    document["routes"][0]["timeout-ms"] = -1;
    CHECK(compare(soundDocument(), document).empty());
    document["routes"][0]["path-prefix"] = "/new/";
    CHECK(compare(soundDocument(), document).front() == "finding=route-added path=routes[0] name=shop.example/new/");
    document = nextDocument();
    document["tenants"][0]["api-keys"][0] = 7;
    CHECK(compare(soundDocument(), document).empty());
}

TEST_CASE("of API keys that differ only the organisation and the counts are reported")
{
    auto document = nextDocument();
    document["tenants"][0]["api-keys"] = {"secret-2", "secret-8", "secret-9"};
    document["tenants"][1]["priority"] = 2;
    CHECK(compare(soundDocument(), document)
          == Lines{"finding=organisation-changed path=tenants[1].priority old=\"\" new=2",
                   "finding=keys-changed path=tenants[0].api-keys organisation=workshop added=2 removed=1"});
    document = nextDocument();
    document.erase("tenants");
    CHECK(compare(soundDocument(), document).back()
          == "finding=key-requirement-changed path=tenants old=required new=not-required");
}

// Guards against a change that is sent and then ignored by every gateway.
TEST_CASE("a change whose version is not larger than the other one is reported")
{
    CHECK(compare(nextDocument(), soundDocument()) == Lines{"finding=version-not-newer path=version old=8 new=7"});
    CHECK(compare(soundDocument(), documentWith("/routes/0/priority", 2))
          == Lines{"finding=route-changed path=routes[0].priority old=1 new=2",
                   "finding=version-not-newer path=version old=7 new=7"});
}

// Guards against documents that forge lines of the output or control the terminal.
TEST_CASE("a name with control characters stays on its line, in ASCII")
{
    CHECK(check(documentWith("/routes/0/service", "a\nfinding=x \x1b[31m\u00e9"))
          == Lines{R"(finding=service-missing path=routes[0].service name="a\nfinding=x \u001b[31m\u00e9")"});
}
