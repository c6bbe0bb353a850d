#include "control/controladdress.h"
#include "control/hostdirectory.h"
#include "net/asio.h"
#include "objectstore/storeavailability.h"
#include "platform/objectapi.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// The directory of entry host host-a, with the hosts that it last reported.
struct Directory {
    /// @param registration of an earlier process; null if there was none
    explicit Directory(const nlohmann::json &registration = {})
        : store(context)
        , storeEndpoint(freeEndpoint(context))
        , directory(context,
                    storeEndpoint,
                    std::make_shared<Platform::ObjectApi>(),
                    "host-a",
                    tcp::endpoint(asio::ip::address_v4::loopback(), 7400),
                    availability,
                    {[this](const std::vector<tcp::endpoint> &listed) { hosts = listed; },
                     [](bool) {},
                     [this](const std::vector<BlockedPart> &listed) { blockedParts = listed; }})
    {
        REQUIRE(store.listen(storeEndpoint).has_value());
        if (!registration.is_null()) {
            store.put("entryhosts", "host-a", registration.at("spec"));
        }
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint storeEndpoint;
    StoreAvailability availability;
    std::vector<tcp::endpoint> hosts;
    std::vector<BlockedPart> blockedParts;
    HostDirectory directory;
};

} // namespace

TEST_CASE("a page with a deeply nested item is parsed or rejected without ending the process")
{
    const std::string page = R"({"store-revision":12,"items":[{"metadata":{"name":"odd","mod-revision":9},"spec":)"
        + nested(100'000) + "}]}";
    // Only that this returns.
    Platform::ObjectApi().parsePage("servers", page).has_value();
    Platform::ObjectApi().parseObject({"servers", "odd"}, page).has_value();
}

TEST_CASE("hosts are listed although another writer registered one with an address that is no text")
{
    Directory host;
    host.store.put("entryhosts", "odd", {{"address", 7}});
    host.store.put("entryhosts", "host-b", {{"address", "127.0.0.1:7401"}});
    host.directory.start();
    host.context.run_for(Milliseconds(300));
    CHECK(host.hosts == std::vector<tcp::endpoint>{{asio::ip::address_v4::loopback(), 7401}});
    host.store.put("entryhosts", "host-c", {{"address", "127.0.0.1:7402"}});
    host.context.run_for(Milliseconds(1500));
    CHECK(host.hosts.size() == 2);
}

TEST_CASE("blocked parts of prompts outlive the process that blocked them, and odd ones harm nothing")
{
    constexpr Milliseconds BlockTime{60'000};
    Directory host;
    host.store.put("entryhosts", "odd", {{"address", "127.0.0.1:7401"}, {"blocked_prompt_parts", 7}});
    host.store.put(
        "entryhosts", "odder", {{"address", "127.0.0.1:7402"}, {"blocked_prompt_parts", {{"a", "b"}, {"c", 1}}}});
    host.directory.start();
    host.context.run_for(Milliseconds(300));
    CHECK(host.blockedParts.empty());
    host.directory.setBlockedParts({{"bad", static_cast<std::uint64_t>(BlockTime.count())}});
    host.context.run_for(Milliseconds(300));
    Directory next(host.store.object("entryhosts", "host-a"));
    next.directory.start();
    next.context.run_for(Milliseconds(300));
    REQUIRE(next.blockedParts.size() == 1);
    CHECK(next.blockedParts[0].part == "bad");
    CHECK(next.blockedParts[0].remaining() <= BlockTime);
    CHECK(next.blockedParts[0].remaining() > BlockTime / 2);
    // The registration that it keeps is that of the process before.
    CHECK(next.store.object("entryhosts", "host-a").dump().find("bad") != std::string::npos);
}
