#include "control/hostdirectory.h"

#include "control/controladdress.h"
#include "logging/logging.h"
#include "net/address.h"
#include "net/spawn.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

const std::string HostKind = "entryhosts";
constexpr Milliseconds CallTimeout{1500};
constexpr Milliseconds EnterInterval{500};
/// New hosts are known to the others after this time; until then their calls are not counted.
constexpr Milliseconds ListInterval{5000};

} // namespace

HostDirectory::HostDirectory(asio::io_context &context,
                             const tcp::endpoint &platform,
                             std::shared_ptr<const ObjectApiDialect> objectApi,
                             std::string host,
                             tcp::endpoint address,
                             Observer onHosts)
    : m_context(context)
    , m_client(context, platform, std::move(objectApi), CallTimeout)
    , m_host(std::move(host))
    , m_address(std::move(address))
    , m_onHosts(std::move(onHosts))
{
}

void HostDirectory::start()
{
    spawn(m_context.get_executor(), "host-directory", run());
}

Task<> HostDirectory::run()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    bool isEntered = false;
    while (!error && !isEntered) {
        isEntered = co_await enter();
        timer.expires_after(EnterInterval);
        co_await timer.async_wait(storeError(error));
    }
    while (!error) {
        co_await list();
        timer.expires_after(ListInterval);
        co_await timer.async_wait(storeError(error));
    }
}

Task<bool> HostDirectory::enter()
{
    const ObjectKey key{HostKind, m_host};
    const std::string value = nlohmann::json{{"address", nodeAddress(m_address).value()}}.dump();
    const auto present = co_await m_client.read(key);
    if (present.has_error() && present.error().code != PlatformCallErrorCode::NotFound) {
        co_return false;
    }
    if (present.has_value() && present.value().value == value) {
        co_return true;
    }
    const auto version = present.has_value() ? present.value().version : 0;
    const auto written = co_await m_client.write(key, version, value);
    if (written.has_error()) {
        logEvent(LogLevel::Warning, "host-not-registered", {{"error", written.error().message().substr(0, 60)}});
    }
    co_return written.has_value();
}

Task<> HostDirectory::list()
{
    const auto page = co_await m_client.listStale(HostKind);
    if (page.has_error()) {
        co_return;
    }
    std::vector<tcp::endpoint> hosts;
    for (const auto &object : page.value().objects) {
        const auto value = nlohmann::json::parse(object.value, nullptr, false);
        const auto address = value.is_object() ? parseAddress(value.value("address", std::string())) : std::nullopt;
        if (address && *address != m_address) {
            hosts.push_back(*address);
        }
    }
    m_onHosts(hosts);
}

} // namespace Cardamomhill
