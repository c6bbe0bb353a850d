#include "control/hostdirectory.h"

#include "control/controladdress.h"
#include "logging/logging.h"
#include "net/address.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

#include <random>

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
                             StoreContact &contact,
                             Observer onHosts)
    : m_context(context)
    , m_client(context, platform, std::move(objectApi), CallTimeout)
    , m_host(std::move(host))
    , m_address(std::move(address))
    , m_contact(contact)
    , m_random(std::random_device()())
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
        if (m_contact.mayCall(steadyNow())) {
            co_await list();
        }
        timer.expires_after(ListInterval);
        co_await timer.async_wait(storeError(error));
    }
}

Task<bool> HostDirectory::enter()
{
    const ObjectKey key{HostKind, m_host};
    const std::string value = nlohmann::json{{"address", nodeAddress(m_address).value()}}.dump();
    // Most hosts start for the first time, so the object is read only if there is one.
    auto written = co_await m_client.write(key, 0, value);
    if (written.has_error() && written.error().code == PlatformCallErrorCode::Conflict) {
        const auto present = co_await m_client.read(key);
        if (present.has_error()) {
            co_return false;
        }
        if (present.value().value == value) {
            co_return true;
        }
        written = co_await m_client.write(key, present.value().version, value);
    }
    if (written.has_error()) {
        logEvent(LogLevel::Warning, "host-not-registered", {{"error", written.error().message().substr(0, 60)}});
    }
    co_return written.has_value();
}

Task<> HostDirectory::list()
{
    const auto page = co_await m_client.listStale(HostKind);
    if (page.has_error()) {
        m_contact.failed(steadyNow(), m_random);
        co_return;
    }
    m_contact.succeeded();
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
