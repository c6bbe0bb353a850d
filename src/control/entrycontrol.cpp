#include "control/entrycontrol.h"

#include "config/backendserver.h"
#include "config/configuration.h"
#include "control/configurationupdate.h"
#include "control/controladdress.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "settings/entrysettings.h"

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{100};
constexpr Milliseconds IdleFollowPeriod{200};
/// Consecutive failed calls after which the platform counts as unreachable. After a single failure other hosts should
/// not yet become relays.
constexpr std::size_t FailuresUntilUnreachable = 3;

const std::vector<std::string> &followedKinds()
{
    static const std::vector<std::string> Kinds{"profiles", "services", "organisations", "backendservers", "slots"};
    return Kinds;
}

HostIdentity identityOf(const EntrySettings &settings)
{
    return {settings.host, settings.failureDomain, controlAddress(settings.controlListen), wallNow()};
}

} // namespace

EntryControl::EntryControl(asio::io_context &context,
                           const EntrySettings &settings,
                           MetricsRegistry &metrics,
                           Subscribers subscribers)
    : m_context(context)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_subscribers(std::move(subscribers))
    , m_random(std::random_device()())
    , m_node(identityOf(settings))
    , m_transport(
          context,
          metrics,
          [this](const ControlAddress &from, std::string_view bytes) {
              const auto handled = m_node.onMessage(from, bytes, steadyNow(), m_random);
              if (handled.has_error()) {
                  logEvent(LogLevel::Warning, "control-message-dropped", {{"error", handled.error().message()}});
              }
              processPending();
          })
    , m_platform(context, settings.platform)
    , m_watchScheduler(followedKinds())
    , m_configuration(std::make_shared<const Configuration>())
{
}

EntryControl::~EntryControl() = default;

Result<void, NetError> EntryControl::start()
{
    BOOST_OUTCOME_TRY(m_transport.listen(m_settings.controlListen));
    std::vector<ControlAddress> seeds;
    for (const auto &seed : m_settings.seeds) {
        seeds.push_back(controlAddress(seed));
    }
    m_node.setSeeds(seeds);
    spawn(m_context.get_executor(), "control-tick", tickLoop());
    spawn(m_context.get_executor(), "platform-follow", followLoop());
    return success();
}

void EntryControl::leave()
{
    m_node.leave(steadyNow(), m_random);
    processPending();
}

bool EntryControl::isReady() const
{
    return m_node.hasConfiguration();
}

std::uint64_t EntryControl::configurationVersion() const
{
    return m_configuration->version();
}

std::size_t EntryControl::liveHostCount() const
{
    return m_node.members().hostsIn(MemberState::Live).size();
}

Task<> EntryControl::tickLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    std::uint64_t ticks = 0;
    while (!error) {
        const auto now = steadyNow();
        m_node.tick(now, m_random);
        m_transport.tick(now);
        processPending();
        constexpr std::uint64_t TicksPerPublication = 10;
        if (++ticks % TicksPerPublication == 0) {
            publishServers();
        }
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

Task<> EntryControl::followLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        const auto now = steadyNow();
        if (m_node.shouldWatchPlatform(now)) {
            m_watchScheduler.start(m_node.completeRevision(), now, m_random);
        } else {
            m_watchScheduler.stop();
        }
        const auto request = m_watchScheduler.nextRequest(now, m_random);
        if (request) {
            const auto answer = co_await callPlatform(*request);
            const auto number = std::visit([](const auto &sent) { return sent.request; }, *request);
            if (answer) {
                applyAnswer(m_watchScheduler.onAnswer(number, *answer));
            } else {
                m_watchScheduler.onFailure(number, steadyNow(), m_random);
            }
            m_node.setPlatformReachable(m_watchScheduler.consecutiveFailures() < FailuresUntilUnreachable, steadyNow());
            continue;
        }
        timer.expires_after(IdleFollowPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

Task<std::optional<FollowAnswer>> EntryControl::callPlatform(const FollowRequest &request)
{
    m_metrics.counter("platform_calls_total").add();
    FollowAnswer answer;
    ObjectPage objects;
    std::optional<PlatformCallError> error;
    if (const auto *watch = std::get_if<WatchRequest>(&request)) {
        auto result = co_await m_platform.watch(std::string(), {0, watch->since}, watch->timeout);
        if (result.has_error()) {
            error = result.error();
        } else {
            objects = std::move(result.value());
        }
    } else {
        auto result = co_await m_platform.list(std::get<ListRequest>(request).kind);
        if (result.has_error()) {
            error = result.error();
        } else {
            objects = std::move(result.value());
        }
    }
    if (error && error->code == PlatformCallErrorCode::HistoryGone) {
        answer.historyGone = true;
        co_return answer;
    }
    if (error) {
        logEvent(LogLevel::Warning, "platform-watch-failed", {{"error", error->message()}});
        co_return std::nullopt;
    }
    answer.revision = objects.revision.number;
    answer.objects = std::move(objects.objects);
    co_return answer;
}

void EntryControl::applyAnswer(const FollowResult &result)
{
    for (const auto &error : result.rejected) {
        logEvent(LogLevel::Error, "platform-object-unreadable", {{"error", error.message()}});
    }
    if (result.revisionWentBack) {
        logEvent(LogLevel::Error, "platform-revision-went-back", {{"known", m_node.completeRevision()}});
    }
    m_node.mergePlatformObjects(result.objects, m_watchScheduler.completeThrough(), steadyNow(), m_random);
    processPending();
}

void EntryControl::processPending()
{
    for (const auto &message : m_node.takeMessages()) {
        m_transport.send(message);
    }
    const auto objects = m_node.takeObjectsInForce();
    if (!objects.empty()) {
        applyInForce(objects);
    }
}

void EntryControl::applyInForce(const std::vector<VersionedObject> &objects)
{
    applyObjects(m_builder, objects);
    m_configuration = m_builder.snapshot();
    logConfiguration(*m_configuration, objects.size());
    m_subscribers.onConfiguration(m_configuration);
}

void EntryControl::publishServers()
{
    std::vector<ServerStatus> servers;
    for (const auto *server : m_configuration->backendServers()) {
        const auto load = m_node.members().server(server->id);
        if (load) {
            servers.push_back({server->id, *load});
        }
    }
    m_subscribers.onServers(servers);
}

} // namespace Cardamomhill
