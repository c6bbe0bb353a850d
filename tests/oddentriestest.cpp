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
    Directory()
        : store(context)
        , storeEndpoint(freeEndpoint(context))
        , directory(context,
                    storeEndpoint,
                    std::make_shared<Platform::ObjectApi>(),
                    "host-a",
                    tcp::endpoint(asio::ip::address_v4::loopback(), 7400),
                    availability,
                    {[this](const std::vector<tcp::endpoint> &listed) { hosts = listed; }})
    {
        REQUIRE(store.listen(storeEndpoint).has_value());
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint storeEndpoint;
    StoreAvailability availability;
    std::vector<tcp::endpoint> hosts;
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
