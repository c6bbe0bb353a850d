#include "coordinator/groupcoordinatormanager.h"

#include "coordinator/groupcoordinator.h"
#include "core/joinwithcommas.h"
#include "core/jsonfield.h"
#include "core/parsejson.h"
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
/// A fraction of the interval at which leases are renewed.
constexpr Milliseconds TickPeriod{250};
/// Interval of reading the leases of all groups. A lease is taken over some seconds after its holder has stopped.
constexpr Milliseconds ObserveInterval{2000};
/// The same for hosts that acquire a lease only if no fitter host does, since each reading is charged.
constexpr Milliseconds UnfitObserveInterval{6000};
/// Maximum age of the known leases when a lease is to be acquired; older ones are read again first.
constexpr Milliseconds MaxObservationAge{200};
constexpr Milliseconds CallTimeout{1000};
constexpr Milliseconds ReleaseCheckPeriod{20};

LeaseRecord recordOf(const PlatformObject &object)
{
    LeaseRecord record;
    record.version = object.version;
    record.era = object.era;
    const auto value = parseJson(object.value);
    if (value.has_value()) {
        record.host = jsonString(value.value(), "host");
        record.incarnation = jsonString(value.value(), "incarnation");
    }
    return record;
}

} // namespace

GroupCoordinatorManager::GroupCoordinatorManager(asio::io_context &context,
                                                 const tcp::endpoint &platform,
                                                 std::shared_ptr<const ObjectApiCodec> objectApi,
                                                 const EngineCodec &engineCodec,
                                                 MetricsRegistry &metrics,
                                                 CoordinatorHost host,
                                                 StoreAvailability &availability,
                                                 Observers observers)
    : m_context(context)
    , m_engineCodec(engineCodec)
    , m_metrics(metrics)
    , m_client(context, platform, std::move(objectApi), CallTimeout)
    , m_random(std::random_device()())
    , m_host(std::move(host))
    , m_availability(availability)
    , m_observers(std::move(observers))
    , m_incarnation(std::to_string(m_random()))
{
}

GroupCoordinatorManager::~GroupCoordinatorManager() = default;

void GroupCoordinatorManager::start()
{
    spawn(m_context.get_executor(), "coordination", run());
}

void GroupCoordinatorManager::apply(std::shared_ptr<const TrafficConfiguration> configuration)
{
    m_configuration = std::move(configuration);
}

void GroupCoordinatorManager::applyServers(const ServerChanges &changes)
{
    m_directory.apply(changes);
    for (const auto &group : m_directory.groups()) {
        const auto found = m_groupStates.find(group.id);
        const auto *engine = engineOf(group);
        if (found != m_groupStates.end() && found->second.coordinator && engine != nullptr) {
            found->second.coordinator->update(group, *engine);
        }
    }
}

void GroupCoordinatorManager::onGroupStepsSlowedDown(const GroupId &group)
{
    const auto found = m_groupStates.find(group);
    if (found != m_groupStates.end() && found->second.coordinator) {
        found->second.coordinator->stepsSlowedDown();
    }
}

void GroupCoordinatorManager::setUnresponsiveHosts(std::set<std::string> hosts)
{
    m_unresponsiveHosts = std::move(hosts);
    logEvent(LogLevel::Info, "silent-hosts", {{"hosts", joinWithCommas(m_unresponsiveHosts)}});
}

void GroupCoordinatorManager::stop()
{
    m_isStopped = true;
    for (auto &[group, state] : m_groupStates) {
        if (state.coordinator) {
            state.coordinator->stop();
        }
    }
    spawn(m_context.get_executor(), "release-leases", releaseLastLeases());
}

bool GroupCoordinatorManager::hasStopped() const
{
    return m_areLeasesReleased;
}

Task<> GroupCoordinatorManager::releaseLastLeases()
{
    co_await releaseLeases();
    m_areLeasesReleased = true;
}

Task<> GroupCoordinatorManager::releaseLeases()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    for (auto &[group, state] : m_groupStates) {
        // A coordinator that still holds a step of its group must not be replaced before it has released it. It may
        // also lose the lease meanwhile.
        const auto coordinator = state.coordinator;
        while (!error && coordinator && coordinator->isRunning()) {
            timer.expires_after(ReleaseCheckPeriod);
            co_await timer.async_wait(storeError(error));
        }
        if (!state.lease.isHeld()) {
            continue;
        }
        // Named: g++ 12 destroys a temporary argument of a coroutine twice if it is written inside co_await.
        const LeaseRecord nobody;
        const auto version = co_await write(group, nobody, state.lease.expectedVersion());
        if (version) {
            logEvent(LogLevel::Info, "coordinator-lease-released", {{"group", group.value()}});
            m_observers.onGroupNotice(noticeOf(GroupEvent::CoordinatorLeft, group, 0));
        }
    }
}

void GroupCoordinatorManager::onGroupNotice(const GroupNotice &notice)
{
    const auto found = m_groupStates.find(GroupId(notice.group));
    const bool hasLeft = notice.event == GroupEvent::CoordinatorLeft;
    if (!hasLeft || found == m_groupStates.end() || found->second.lease.isHeld()) {
        return;
    }
    for (const auto &group : m_directory.groups()) {
        if (group.id == found->first && localityOf(group) == Locality::Local
            && found->second.lease.holder() == notice.host) {
            found->second.lease.holderLeft(steadyNow(), m_random);
        }
    }
}

GroupNotice GroupCoordinatorManager::noticeOf(GroupEvent event, const GroupId &group, std::uint64_t epoch) const
{
    GroupNotice notice;
    notice.event = event;
    notice.host = m_host.name;
    notice.group = group.value();
    notice.epoch = epoch;
    return notice;
}

const EngineProfile *GroupCoordinatorManager::engineOf(const GroupView &group) const
{
    const auto *service = m_configuration ? m_configuration->service(group.service) : nullptr;
    const bool hasExperts = service != nullptr && service->engine && service->engine->expertLayers > 0;
    return hasExperts ? &*service->engine : nullptr;
}

GroupCoordinatorManager::GroupState &GroupCoordinatorManager::stateOf(const GroupId &group)
{
    const auto found = m_groupStates.find(group);
    return found != m_groupStates.end()
        ? found->second
        : m_groupStates.emplace(group, GroupState{CoordinatorLease(m_host.name, m_incarnation), nullptr}).first->second;
}

Locality GroupCoordinatorManager::localityOf(const GroupView &group) const
{
    return group.hasRankIn(m_host.failureDomain) ? Locality::Local : Locality::Remote;
}

bool GroupCoordinatorManager::mayAcquire(const GroupState &state) const
{
    return state.lease.shouldAcquire(steadyNow()) && !m_availability.isUnavailable();
}

CoordinatorFitness GroupCoordinatorManager::fitnessFor(const GroupView &group) const
{
    const auto *engine = engineOf(group);
    const auto time = engine == nullptr ? Microseconds(0)
                                        : mapTransferTime(*engine, group.ranks.size(), m_host.linkMegabitsPerSecond);
    return {localityOf(group), time};
}

Task<> GroupCoordinatorManager::run()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    SteadyTime nextObservation{};
    while (!error && !m_isStopped) {
        // Changes to the groups during this round are processed in the next one.
        const auto snapshot = m_directory.snapshot();
        const auto &groups = *snapshot;
        if (!groups.empty() && steadyNow() >= nextObservation && m_availability.tryBeginCall(steadyNow())) {
            const bool isFit = std::any_of(
                groups.begin(), groups.end(), [this](const GroupView &group) { return fitnessFor(group).isFit(); });
            nextObservation = steadyNow() + (isFit ? ObserveInterval : UnfitObserveInterval);
            co_await observeLeases();
        }
        for (const auto &group : groups) {
            const auto *engine = engineOf(group);
            if (engine != nullptr && !m_isStopped) {
                co_await maintainLease(group, *engine);
            }
        }
        publishSlowdownFactors();
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

Task<> GroupCoordinatorManager::observeLeases()
{
    const auto page = co_await m_client.listStale(LeaseKind);
    if (page.has_error()) {
        page.error().isAnswer() ? m_availability.onSuccess() : m_availability.onFailure(steadyNow(), m_random);
        co_return;
    }
    m_availability.onSuccess();
    m_observedAt = steadyNow();
    std::map<GroupId, LeaseRecord> records;
    for (const auto &object : page.value().objects) {
        records[GroupId(object.key.name)] = recordOf(object);
    }
    for (const auto &group : m_directory.groups()) {
        auto &record = records[group.id];
        // Also of a lease that does not exist.
        record.era = page.value().revision.era;
        stateOf(group.id).lease.observe(record, fitnessFor(group), steadyNow(), m_random);
    }
}

void GroupCoordinatorManager::checkStoreAvailability()
{
    const bool wasUnavailable = std::exchange(m_wasStoreUnavailable, m_availability.isUnavailable());
    if (wasUnavailable && !m_wasStoreUnavailable) {
        for (auto &[group, state] : m_groupStates) {
            state.lease.storeBecameAvailable(steadyNow(), m_random);
        }
    }
}

void GroupCoordinatorManager::publishSlowdownFactors()
{
    SlowdownFactors slowdownFactors;
    for (const auto &[group, state] : m_groupStates) {
        const auto ranks = state.coordinator ? state.coordinator->slowRanks() : SlowdownFactors();
        slowdownFactors.insert(ranks.begin(), ranks.end());
    }
    if (slowdownFactors != m_publishedSlowdownFactors) {
        m_publishedSlowdownFactors = slowdownFactors;
        m_observers.onSlowdownFactors(slowdownFactors);
    }
}

Task<> GroupCoordinatorManager::maintainLease(const GroupView &group, EngineProfile engine)
{
    checkStoreAvailability();
    auto &state = stateOf(group.id);
    if (state.coordinator && state.coordinator->hasTermEnded()) {
        stepDown(group, state, "the group follows another coordinator or cannot be reached");
    }
    if (m_unresponsiveHosts.contains(state.lease.holder()) && localityOf(group) == Locality::Local) {
        state.lease.holderLeft(steadyNow(), m_random);
    }
    if (state.lease.shouldRenew(steadyNow())) {
        co_await renew(group, state);
    } else if (mayAcquire(state)) {
        // The listed leases may be stale but cost little to read, and mostly show that another host was faster.
        if (steadyNow() - m_observedAt > MaxObservationAge) {
            co_await observeLeases();
        }
        if (mayAcquire(state)) {
            co_await acquire(group, state);
        }
        if (state.coordinator && m_isStopped) {
            co_await releaseLeases();
        } else if (state.coordinator) {
            state.coordinator->update(group, engine);
            state.coordinator->start();
        }
    }
}

Task<> GroupCoordinatorManager::acquire(const GroupView &group, GroupState &state)
{
    auto expected = state.lease.expectedVersion();
    if (expected != 0) {
        // The known version may be outdated.
        const ObjectKey key{LeaseKind, group.id.value()};
        const auto object = co_await m_client.read(key);
        if (object.has_error()) {
            // The next listing of leases determines whether the store is unavailable.
            state.lease.attemptFailed(steadyNow(), m_random);
            co_return;
        }
        if (object.value().version != expected) {
            state.lease.observe(recordOf(object.value()), fitnessFor(group), steadyNow(), m_random);
            co_return;
        }
    }
    const auto ownLease = ownRecord();
    const auto written = co_await write(group.id, ownLease, expected);
    if (!written) {
        state.lease.lost(steadyNow(), m_random);
        co_return;
    }
    const auto previous = state.lease.holder();
    state.lease.acquired(*written, steadyNow());
    state.coordinator = std::make_shared<GroupCoordinator>(
        m_context,
        m_engineCodec,
        m_metrics,
        state.lease.term(),
        m_host.linkMegabitsPerSecond,
        [this](const GroupView &opened) {
            m_observers.onGroupNotice(noticeOf(GroupEvent::Opened, opened.id, opened.epoch));
        });
    logEvent(LogLevel::Info,
             "coordinating",
             {{"group", group.id.value()},
              {"term", state.lease.term()},
              {"previous", previous},
              {"previous_is_silent", m_unresponsiveHosts.contains(previous)}});
}

Task<> GroupCoordinatorManager::renew(const GroupView &group, GroupState &state)
{
    const auto ownLease = ownRecord();
    const auto written = co_await write(group.id, ownLease, state.lease.expectedVersion());
    if (written) {
        state.lease.renewed(*written, steadyNow());
        co_return;
    }
    // The write may have succeeded although its answer was lost. The fencing tokens of the term protect the group if
    // not.
    const ObjectKey key{LeaseKind, group.id.value()};
    const auto object = co_await m_client.read(key);
    if (object.has_value()) {
        const auto record = recordOf(object.value());
        if (record.host == m_host.name && record.incarnation == m_incarnation) {
            state.lease.renewed(record.revision(), steadyNow());
        } else {
            stepDown(group, state, "another host holds the lease");
        }
    } else if (object.error().code == PlatformCallErrorCode::NotFound) {
        co_await recreate(group, state);
    } else {
        state.lease.postponeRenewal(steadyNow());
    }
}

Task<> GroupCoordinatorManager::recreate(const GroupView &group, GroupState &state)
{
    logEvent(LogLevel::Warning, "coordinator-lease-missing", {{"group", group.id.value()}});
    constexpr std::uint64_t MustNotExist = 0;
    const auto ownLease = ownRecord();
    const auto written = co_await write(group.id, ownLease, MustNotExist);
    if (written) {
        state.lease.renewed(*written, steadyNow());
    } else {
        // The next renewal finds out who else has written it.
        state.lease.postponeRenewal(steadyNow());
    }
}

LeaseRecord GroupCoordinatorManager::ownRecord() const
{
    return {0, m_host.name, m_incarnation, 0};
}

Task<std::optional<StoreRevision>>
GroupCoordinatorManager::write(const GroupId &group, const LeaseRecord &holder, std::uint64_t expectedVersion)
{
    const nlohmann::json value{{"host", holder.host}, {"incarnation", holder.incarnation}, {"renewal", ++m_renewals}};
    const ObjectKey key{LeaseKind, group.value()};
    const std::string text = value.dump();
    const auto written = co_await m_client.write(key, expectedVersion, text);
    if (written.has_error()) {
        logEvent(LogLevel::Info,
                 "lease-not-written",
                 {{"group", group.value()}, {"error", written.error().message().substr(0, 60)}});
        co_return std::nullopt;
    }
    co_return StoreRevision{written.value().era, written.value().version};
}

void GroupCoordinatorManager::stepDown(const GroupView &group, GroupState &state, std::string_view cause)
{
    logEvent(LogLevel::Warning,
             "coordination-ended",
             {{"group", group.id.value()}, {"term", state.lease.term()}, {"cause", cause}});
    if (state.coordinator) {
        state.coordinator->stop();
        state.coordinator.reset();
    }
    state.lease.lost(steadyNow(), m_random);
}

} // namespace Cardamomhill
