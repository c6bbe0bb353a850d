#include "control/hostdirectory.h"

#include "control/controladdress.h"
#include "core/jsonfield.h"
#include "core/parsejson.h"
#include "logging/logging.h"
#include "net/address.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

const std::string HostKind = "entryhosts";
constexpr Milliseconds CallTimeout{1500};
/// Limits how long hosts that receive nothing from each other remain unknown to each other, and how long a store that
/// accepts calls but answers none goes unnoticed.
constexpr Milliseconds ListInterval{5000};
/// For relays, whose information other hosts rely on.
constexpr Milliseconds RelayListInterval{1000};
/// For hosts that need the store only when their relays fail.
constexpr Milliseconds RelayedListInterval{30'000};
/// Hosts of a new fleet start at the same time and may miss each other in their first lists, so these follow each other
/// sooner. The interval doubles up to the regular one.
constexpr Milliseconds FirstListInterval{500};
/// Time between attempts to store blocked parts.
constexpr Milliseconds StoreInterval{500};
/// Field of a registration: the end of each block in Unix milliseconds, by part.
constexpr const char *BlockedPartsField = "blocked_prompt_parts";

/// Appends the parts that a registration keeps and whose blocks have not ended.
void appendBlockedParts(const nlohmann::json &registration, std::vector<BlockedPart> &parts)
{
    const auto field = registration.is_object() ? registration.find(BlockedPartsField) : registration.end();
    if (field == registration.end() || !field->is_object()) {
        return;
    }
    for (const auto &[part, end] : field->items()) {
        const auto now = wallNow().time_since_epoch().count();
        const auto until = end.is_number_integer() ? end.get<std::int64_t>() : 0;
        if (until > now) {
            parts.push_back({part, static_cast<std::uint64_t>(until - now)});
        }
    }
}

Milliseconds listIntervalOf(StoreRole role)
{
    switch (role) {
    case StoreRole::Direct:
        return ListInterval;
    case StoreRole::Relay:
        return RelayListInterval;
    case StoreRole::Relayed:
        return RelayedListInterval;
    }
    return ListInterval;
}

} // namespace

HostDirectory::HostDirectory(asio::io_context &context,
                             const tcp::endpoint &platform,
                             std::shared_ptr<const ObjectApiCodec> objectApi,
                             std::string host,
                             tcp::endpoint address,
                             StoreAvailability &availability,
                             Observers observers)
    : m_context(context)
    , m_client(context, platform, std::move(objectApi), CallTimeout)
    , m_host(std::move(host))
    , m_address(std::move(address))
    , m_availability(availability)
    , m_random(std::random_device()())
    , m_observers(std::move(observers))
{
}

void HostDirectory::start()
{
    spawn(m_context.get_executor(), "host-directory", run());
}

void HostDirectory::setStoreRole(StoreRole role)
{
    m_role = role;
}

Task<> HostDirectory::run()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    auto interval = FirstListInterval;
    while (!error) {
        if (m_availability.tryBeginCall(steadyNow())) {
            co_await list();
        }
        if (!m_isRegistered && !m_availability.isUnavailable()) {
            co_await registerHost();
        }
        timer.expires_after(interval);
        if (m_isRegistered) {
            interval = std::min(interval * 2, listIntervalOf(m_role));
        }
        co_await timer.async_wait(storeError(error));
    }
}

Task<> HostDirectory::registerHost()
{
    const ObjectKey key{HostKind, m_host};
    const auto value = registration();
    // Most hosts start for the first time, so the object is read only if it turns out to exist.
    auto written = co_await m_client.write(key, 0, value);
    const bool isFirstProcess = written.has_value();
    if (written.has_error() && written.error().code == PlatformCallErrorCode::Conflict) {
        const auto present = co_await m_client.read(key);
        if (present.has_error()) {
            co_return;
        }
        const auto presentValue = parseJson(present.value().value);
        // What an earlier process of this host has blocked stays.
        if (m_areBlockedPartsStored && presentValue.has_value()
            && jsonString(presentValue.value(), "address") == controlAddress(m_address).value()) {
            setRegistered(false);
            co_return;
        }
        written = co_await m_client.write(key, present.value().version, value);
    }
    if (written.has_error()) {
        logEvent(LogLevel::Warning, "host-not-registered", {{"error", written.error().message().substr(0, 60)}});
        co_return;
    }
    m_areBlockedPartsStored = m_areBlockedPartsStored || value == registration();
    setRegistered(isFirstProcess);
}

std::string HostDirectory::registration() const
{
    nlohmann::json json{{"address", controlAddress(m_address).value()}};
    for (const auto &[part, end] : m_blockedParts) {
        json[BlockedPartsField][part] = end.time_since_epoch().count();
    }
    // Parts come from callers and need not be valid UTF-8.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void HostDirectory::setBlockedParts(const std::vector<BlockedPart> &parts)
{
    m_blockedParts.clear();
    for (const auto &part : parts) {
        m_blockedParts[part.part] = wallNow() + part.remaining();
    }
    m_areBlockedPartsStored = false;
    if (!m_isStoringBlockedParts) {
        m_isStoringBlockedParts = true;
        spawn(m_context.get_executor(), "host-directory-store", storeBlockedParts());
    }
}

Task<> HostDirectory::storeBlockedParts()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!m_areBlockedPartsStored && !error) {
        if (!m_availability.isUnavailable()) {
            co_await registerHost();
        }
        if (!m_areBlockedPartsStored) {
            timer.expires_after(StoreInterval);
            co_await timer.async_wait(storeError(error));
        }
    }
    m_isStoringBlockedParts = false;
}

void HostDirectory::setRegistered(bool isFirstProcess)
{
    if (m_isRegistered) {
        return;
    }
    m_isRegistered = true;
    logEvent(LogLevel::Info, "host-registered", {{"host", m_host}, {"first_process", isFirstProcess}});
    m_observers.onRegistered(isFirstProcess);
}

Task<> HostDirectory::list()
{
    const auto page = co_await m_client.listStale(HostKind);
    if (page.has_error()) {
        page.error().isAnswer() ? m_availability.onSuccess() : m_availability.onFailure(steadyNow(), m_random);
        co_return;
    }
    m_availability.onSuccess();
    std::vector<tcp::endpoint> hosts;
    std::set<HostId> names;
    std::vector<BlockedPart> blockedParts;
    for (const auto &object : page.value().objects) {
        const auto value = parseJson(object.value);
        const auto address = value.has_value() ? parseAddress(jsonString(value.value(), "address")) : std::nullopt;
        if (value.has_value()) {
            appendBlockedParts(value.value(), blockedParts);
        }
        if (address) {
            names.emplace(object.key.name);
        }
        if (address && *address != m_address) {
            hosts.push_back(*address);
        }
        // A previous process of this host may have registered the same address.
        if (object.key.name == m_host && address == m_address) {
            setRegistered(false);
        }
    }
    m_observers.onHosts(hosts);
    m_observers.onHostNames(names);
    // Later ones come from the other hosts sooner.
    if (!m_hasListed && !blockedParts.empty()) {
        m_observers.onBlockedParts(blockedParts);
    }
    m_hasListed = true;
}

} // namespace Cardamomhill
