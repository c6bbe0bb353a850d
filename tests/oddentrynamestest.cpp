// Guards against entries of the store whose names mean something else in the target of a request.

#include "control/platformclient.h"
#include "platform/objectapi.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"
#include "support/loopbackgateway.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;
const std::string Kind = "servers";

/// Parts of names that are reserved in a target, cannot stand in one, or look like an escape or a field.
const std::vector<std::string> &oddParts()
{
    static const std::vector<std::string> Parts{
        "&", "+", "#",  "%",  " ",  "%41", "%zz",          "?",         "/", "=",          "\"",       "\\",
        ";", ":", "\n", "\t", "\r", "..",  "\xc3\xa9",     "\x01",      "~", "&after=zzz", "\x7f",     "@",
        "'", "<", "|",  "$",  ",",  "*",   "\xe2\x82\xac", " HTTP/1.1", "!", "(",          "?after=z", "[x]"};
    return Parts;
}

/// A store and a client of it.
struct StoreWithClient {
    StoreWithClient()
        : store(context)
        , endpoint(freeEndpoint(context))
        , client(context, endpoint, std::make_shared<Platform::ObjectApi>())
    {
        REQUIRE(store.listen(endpoint).has_value());
    }

    /// Runs a call for as long as it may last at most.
    template<class Value>
    std::optional<Result<Value, PlatformCallError>> finish(Task<Result<Value, PlatformCallError>> call)
    {
        std::optional<Result<Value, PlatformCallError>> result;
        asio::co_spawn(
            context,
            [](auto begun, auto &ended) -> Task<> { ended.emplace(co_await std::move(begun)); }(std::move(call),
                                                                                                result),
            asio::detached);
        const auto end = steadyNow() + Seconds(2);
        while (!result && steadyNow() < end) {
            context.restart();
            context.run_for(Milliseconds(5));
        }
        return result;
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint endpoint;
    PlatformClient client;
};

} // namespace

TEST_CASE("a list has each object once, whatever the names at the ends of its pages")
{
    CHECK(rc::check("random names", [] {
        const auto part = rc::gen::elementOf(oddParts());
        const auto name = rc::gen::map(rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
                                           rc::gen::oneOf(part, rc::gen::element<std::string>("a", "b", "z")))),
                                       [](const std::vector<std::string> &parts) {
                                           std::string text;
                                           for (const auto &item : parts) {
                                               text += item;
                                           }
                                           return text;
                                       });
        const auto names = *rc::gen::container<std::set<std::string>>(name);
        const auto pageLength = *rc::gen::inRange<std::size_t>(1, 4);
        StoreWithClient host;
        host.store.setPageLength(pageLength);
        for (const auto &written : names) {
            host.store.put(Kind, written, nlohmann::json::object());
        }
        const auto list = host.finish(host.client.list(Kind));
        RC_ASSERT(list.has_value());
        RC_ASSERT(list->has_value());
        std::vector<std::string> listed;
        for (const auto &object : list->value().objects) {
            listed.push_back(object.key.name);
        }
        RC_ASSERT(listed == std::vector<std::string>(names.begin(), names.end()));
        RC_ASSERT(host.store.callCount() == std::max<std::size_t>(1, (names.size() + pageLength - 1) / pageLength));
    }));
}

TEST_CASE("an object with an odd name is written, read and replaced under just that name")
{
    for (const auto &part : oddParts()) {
        const auto name = "a" + part + "z";
        CAPTURE(name);
        StoreWithClient host;
        const ObjectKey key{"leases", name};
        const auto created = host.finish(host.client.write(key, 0, R"({"holder":"h1"})"));
        REQUIRE(created.has_value());
        REQUIRE(created->has_value());
        const auto replaced = host.finish(host.client.write(key, created->value().version, R"({"holder":"h2"})"));
        REQUIRE(replaced.has_value());
        REQUIRE(replaced->has_value());
        const auto read = host.finish(host.client.read(key));
        REQUIRE(read.has_value());
        REQUIRE(read->has_value());
        CHECK(read->value().key.name == name);
        CHECK(read->value().version == replaced->value().version);
        CHECK(host.store.object("leases", name).at("spec").at("holder") == "h2");
    }
}

TEST_CASE("a host that starts beside odd names at the ends of pages gets ready and serves")
{
    LoopbackGateway gateway({"s1", "s2"});
    for (const auto &part : oddParts()) {
        gateway.store.put(Kind, "a" + part, nlohmann::json::object());
        gateway.store.put(Kind, "s" + part, nlohmann::json::object());
    }
    gateway.store.setPageLength(1);
    gateway.kill(0);
    gateway.start(0);
    int served = 0;
    const auto scenario = [&]() -> Task<> {
        co_await gateway.waitUntilReady();
        for (int i = 0; i < 10; ++i) {
            const auto id = "call" + std::to_string(i);
            auto request = LoopbackGateway::makeCall("/safe/ok", id);
            const auto result = co_await gateway.call(std::move(request));
            served += result.status == Ok ? 1 : 0;
        }
    };
    gateway.run(scenario());
    CHECK(served == 10);
}

TEST_CASE("a list whose next page is the same again fails instead of being asked for without end")
{
    const auto item = [](const std::string &name) {
        return R"({"metadata":{"name":")" + name + R"(","mod-revision":7},"spec":{}})";
    };
    StoreWithClient host;
    host.store.setPageText(Kind,
                           R"({"items":[)" + item("a") + "," + item("b") + R"(],"has-more":true,"store-revision":9})");
    const auto list = host.finish(host.client.list(Kind));
    CHECK(host.store.callCount() == 2);
    REQUIRE(list.has_value());
    REQUIRE(list->has_error());
    CHECK(list->error().code == PlatformCallErrorCode::MalformedAnswer);
}
