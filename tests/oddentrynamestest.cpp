// Guards against entries of the store whose names mean something else in the target of a request.

#include "control/platformclient.h"
#include "platform/objectapi.h"
#include "platform/store.h"
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

    /// Runs a call to its end; nothing if it lasts longer than two seconds.
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

TEST_CASE("an entry with an odd name is no server, whatever else it holds")
{
    const ServerEntry sound{"s1", "127.0.0.1:8080", 1, false};
    const auto spec = serverDocument(sound);
    for (const std::string name : {"s1", "i-7f3a91c2", "S_1.2~x"}) {
        CHECK(Platform::Store().parseServer({{Kind, name}, 7, spec}).has_value());
    }
    for (const auto &part : oddParts()) {
        if (part == "~" || part == "..") {
            // Odd in a path only; an id may contain them.
            continue;
        }
        CAPTURE(part);
        const auto server = Platform::Store().parseServer({{Kind, "s1" + part}, 7, spec});
        REQUIRE(server.has_error());
        CHECK(server.error().code == StoreParseErrorCode::Malformed);
    }
}

TEST_CASE("the name of an entry adds no field to the calls that servers get")
{
    LoopbackGateway gateway({"s1"});
    const ServerEntry forged{"s1", controlAddress(gateway.server("s1").endpoint()).value(), 1, false};
    gateway.store.put(Kind, "s1\r\nX-Private: forged\r\nX-Rest: x", nlohmann::json::parse(serverDocument(forged)));
    int served = 0;
    int forgedFields = 0;
    const auto scenario = [&]() -> Task<> {
        co_await gateway.sleep(Seconds(2));
        for (int i = 0; i < 40; ++i) {
            const auto id = "call" + std::to_string(i);
            auto request = LoopbackGateway::makeCall("/safe/ok", id);
            const auto result = co_await gateway.call(std::move(request));
            served += result.status == Ok ? 1 : 0;
            forgedFields += result.body.find("forged") != std::string::npos ? 1 : 0;
        }
    };
    gateway.run(scenario());
    CHECK(served == 40);
    CHECK(forgedFields == 0);
}

TEST_CASE("a list goes on after a page whose only entry has a name that is no text")
{
    StoreWithClient host;
    host.store.setPageLength(1);
    host.store.put(Kind, "a", nlohmann::json::object());
    // The encoding of a surrogate, which a store that is not strict keeps.
    host.store.putRawItem(Kind, "b\xed\xa0\x80", R"({"metadata":{"name":"b\ud800","mod-revision":7},"spec":{}})");
    host.store.put(Kind, "c", nlohmann::json::object());
    const auto list = host.finish(host.client.list(Kind));
    REQUIRE(list.has_value());
    REQUIRE(list->has_value());
    CHECK(list->value().objects.size() == 2);
    CHECK(list->value().unreadableCount == 1);
    CHECK_FALSE(list->value().hasMore);
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
