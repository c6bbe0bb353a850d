#include "coordinator/coordination.h"

#include "coordinator/groupcoordinator.h"
#include "core/joined.h"
#include "logging/logging.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

const std::string LeaseKind = "groupcoordinators";
/// Half of the time in which a lease has to be renewed.
constexpr Milliseconds TickPeriod{250};
/// Leases of other hosts are looked at this often; a free one is taken some seconds after its holder stopped.
constexpr Milliseconds ObserveInterval{2000};
/// The same at hosts that take a lease only if no fitter one does: each reading is charged.
constexpr Milliseconds UnfitObserveInterval{6000};
/// Before a lease is taken, what is known of it must not be older.
constexpr Milliseconds FreshObservation{200};
constexpr Milliseconds CallTimeout{1000};

LeaseRecord recordOf(const PlatformObject &object)
{
    LeaseRecord record;
    record.version = object.version;
    const auto value = nlohmann::json::parse(object.value, nullptr, false);
    if (value.is_object()) {
        record.host = value.value("host", std::string());
        record.incarnation = value.value("incarnation", std::string());
    }
    return record;
}

} // namespace

Coordination::Coordination(asio::io_context &context,
                           const tcp::endpoint &platform,
                           std::shared_ptr<const ObjectApiDialect> objectApi,
                           const EngineDialect &engineDialect,
                           MetricsRegistry &metrics,
                           CoordinatorHost host,
                           StoreContact &contact,
                           SlownessObserver onSlowness)
    : m_context(context)
    , m_engineDialect(engineDialect)
    , m_metrics(metrics)
    , m_client(context, platform, std::move(objectApi), CallTimeout)
    , m_random(std::random_device()())
    , m_host(std::move(host))
    , m_contact(contact)
    , m_onSlowness(std::move(onSlowness))
    , m_incarnation(std::to_string(m_random()))
{
}

Coordination::~Coordination() = default;

void Coordination::start()
{
    spawn(m_context.get_executor(), "coordination", run());
}

void Coordination::apply(std::shared_ptr<const TrafficConfiguration> configuration)
{
    m_configuration = std::move(configuration);
}

void Coordination::applyServers(const ServerChanges &changes)
{
    m_directory.apply(changes);
    for (const auto &group : m_directory.groups()) {
        const auto found = m_led.find(group.id);
        const auto *engine = engineOf(group);
        if (found != m_led.end() && found->second.coordinator && engine != nullptr) {
            found->second.coordinator->update(group, *engine);
        }
    }
}

void Coordination::groupTurnedSlow(const GroupId &group)
{
    const auto found = m_led.find(group);
    if (found != m_led.end() && found->second.coordinator) {
        found->second.coordinator->stepsTurnedSlow();
    }
}

void Coordination::setSilentHosts(std::set<std::string> hosts)
{
    m_silentHosts = std::move(hosts);
    logEvent(LogLevel::Info, "silent-hosts", {{"hosts", joined(m_silentHosts)}});
}

void Coordination::stop()
{
    m_isStopped = true;
    for (auto &[group, led] : m_led) {
        if (led.coordinator) {
            led.coordinator->stop();
        }
    }
}

const EngineProfile *Coordination::engineOf(const GroupView &group) const
{
    const auto *service = m_configuration ? m_configuration->service(group.service) : nullptr;
    const bool hasExperts = service != nullptr && service->engine && service->engine->expertLayers > 0;
    return hasExperts ? &*service->engine : nullptr;
}

Coordination::Led &Coordination::ledOf(const GroupId &group)
{
    const auto found = m_led.find(group);
    return found != m_led.end()
        ? found->second
        : m_led.emplace(group, Led{CoordinatorLease(m_host.name, m_incarnation), nullptr}).first->second;
}

Locality Coordination::localityOf(const GroupView &group) const
{
    return group.hasRankIn(m_host.failureDomain) ? Locality::Local : Locality::Remote;
}

bool Coordination::mayAcquire(const Led &led) const
{
    return led.lease.shouldAcquire(steadyNow()) && !m_contact.isLost();
}

CoordinatorFitness Coordination::fitnessFor(const GroupView &group) const
{
    const auto *engine = engineOf(group);
    const auto time = engine == nullptr ? Microseconds(0)
                                        : mapTransferTime(*engine, group.ranks.size(), m_host.linkMegabitsPerSecond);
    return {localityOf(group), time};
}

Task<> Coordination::run()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    SteadyTime nextObservation{};
    while (!error && !m_isStopped) {
        // Changes that come meanwhile are looked at in the next round.
        const auto snapshot = m_directory.snapshot();
        const auto &groups = *snapshot;
        if (!groups.empty() && steadyNow() >= nextObservation && m_contact.mayCall(steadyNow())) {
            const bool isFit = std::any_of(
                groups.begin(), groups.end(), [this](const GroupView &group) { return fitnessFor(group).isFit(); });
            nextObservation = steadyNow() + (isFit ? ObserveInterval : UnfitObserveInterval);
            co_await observeLeases();
        }
        for (const auto &group : groups) {
            const auto *engine = engineOf(group);
            if (engine != nullptr && !m_isStopped) {
                co_await keep(group, *engine);
            }
        }
        publishSlowness();
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

Task<> Coordination::observeLeases()
{
    const auto page = co_await m_client.listStale(LeaseKind);
    if (page.has_error()) {
        m_contact.failed(steadyNow(), m_random);
        co_return;
    }
    m_contact.succeeded();
    m_observedAt = steadyNow();
    std::map<GroupId, LeaseRecord> records;
    for (const auto &object : page.value().objects) {
        records[GroupId(object.key.name)] = recordOf(object);
    }
    for (const auto &group : m_directory.groups()) {
        ledOf(group.id).lease.observe(records[group.id], fitnessFor(group), steadyNow(), m_random);
    }
}

void Coordination::noteContact()
{
    const bool wasLost = std::exchange(m_wasLost, m_contact.isLost());
    if (wasLost && !m_wasLost) {
        for (auto &[group, led] : m_led) {
            led.lease.storeBecameAvailable(steadyNow(), m_random);
        }
    }
}

void Coordination::publishSlowness()
{
    ServerSlowness slowness;
    for (const auto &[group, led] : m_led) {
        const auto ranks = led.coordinator ? led.coordinator->slowRanks() : ServerSlowness();
        slowness.insert(ranks.begin(), ranks.end());
    }
    if (slowness != m_published) {
        m_published = slowness;
        m_onSlowness(slowness);
    }
}

Task<> Coordination::keep(const GroupView &group, EngineProfile engine)
{
    noteContact();
    auto &led = ledOf(group.id);
    if (led.coordinator && led.coordinator->isOver()) {
        stepDown(group, led, "the group follows another coordinator or cannot be reached");
    }
    if (m_silentHosts.contains(led.lease.holder()) && localityOf(group) == Locality::Local) {
        led.lease.holderBecameUnresponsive(steadyNow(), m_random);
    }
    if (led.lease.shouldRenew(steadyNow())) {
        co_await renew(group, led);
    } else if (mayAcquire(led)) {
        // A list may be old but costs little, and mostly shows that another host was sooner.
        if (steadyNow() - m_observedAt > FreshObservation) {
            co_await observeLeases();
        }
        if (mayAcquire(led)) {
            co_await acquire(group, led);
        }
        if (led.coordinator) {
            led.coordinator->update(group, engine);
            led.coordinator->start();
        }
    }
}

Task<> Coordination::acquire(const GroupView &group, Led &led)
{
    auto expected = led.lease.expectedVersion();
    if (expected != 0) {
        // What was seen may be old.
        const ObjectKey key{LeaseKind, group.id.value()};
        const auto object = co_await m_client.read(key);
        if (object.has_error()) {
            // The next list of leases tells whether the store is away.
            led.lease.attemptFailed(steadyNow(), m_random);
            co_return;
        }
        if (object.value().version != expected) {
            led.lease.observe(recordOf(object.value()), fitnessFor(group), steadyNow(), m_random);
            co_return;
        }
    }
    const auto version = co_await write(group, expected);
    if (!version) {
        led.lease.lost(steadyNow(), m_random);
        co_return;
    }
    const auto previous = led.lease.holder();
    led.lease.acquired(*version, steadyNow());
    led.coordinator = std::make_shared<GroupCoordinator>(
        m_context, m_engineDialect, m_metrics, led.lease.term(), m_host.linkMegabitsPerSecond);
    logEvent(LogLevel::Info,
             "coordinating",
             {{"group", group.id.value()},
              {"term", led.lease.term()},
              {"previous", previous},
              {"previous_is_silent", m_silentHosts.contains(previous)}});
}

Task<> Coordination::renew(const GroupView &group, Led &led)
{
    const auto version = co_await write(group, led.lease.expectedVersion());
    if (version) {
        led.lease.renewed(*version, steadyNow());
        co_return;
    }
    // The write may have been done although its answer was lost; the tokens of the term protect the group.
    const ObjectKey key{LeaseKind, group.id.value()};
    const auto object = co_await m_client.read(key);
    if (object.has_value()) {
        const auto record = recordOf(object.value());
        if (record.host == m_host.name && record.incarnation == m_incarnation) {
            led.lease.renewed(record.version, steadyNow());
        } else {
            stepDown(group, led, "another host holds the lease");
        }
    } else {
        led.lease.renewed(led.lease.expectedVersion(), steadyNow());
    }
}

Task<std::optional<std::uint64_t>> Coordination::write(const GroupView &group, std::uint64_t expectedVersion)
{
    const nlohmann::json value{{"host", m_host.name}, {"incarnation", m_incarnation}, {"renewal", ++m_renewals}};
    const ObjectKey key{LeaseKind, group.id.value()};
    const std::string text = value.dump();
    const auto written = co_await m_client.write(key, expectedVersion, text);
    if (written.has_error()) {
        logEvent(LogLevel::Info,
                 "lease-not-written",
                 {{"group", group.id.value()}, {"error", written.error().message().substr(0, 60)}});
        co_return std::nullopt;
    }
    co_return written.value().version;
}

void Coordination::stepDown(const GroupView &group, Led &led, std::string_view cause)
{
    logEvent(LogLevel::Warning,
             "coordination-ended",
             {{"group", group.id.value()}, {"term", led.lease.term()}, {"cause", cause}});
    if (led.coordinator) {
        led.coordinator->stop();
        led.coordinator.reset();
    }
    led.lease.lost(steadyNow(), m_random);
}

} // namespace Cardamomhill
