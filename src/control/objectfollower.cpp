#include "control/objectfollower.h"

#include "control/relayedkind.h"
#include "control/storerelay.h"
#include "logging/logging.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

/// How long the store may hold a watch open. A watch costs one call regardless of its duration. TCP keep-alive probes
/// detect an unresponsive connection, and WatchMonitor an answer that will not come.
constexpr Milliseconds WatchTimeout{30'000};
/// The same for hosts that call the store only until their relays work again. Short enough without WatchMonitor, whose
/// calls many hosts would make at once.
constexpr Milliseconds FallbackWatchTimeout{3000};
/// The store answers within milliseconds, or some hundred of them when it is slow. A lost connection attempt must not
/// delay the next one for long.
constexpr Milliseconds CallTimeout{1500};
/// Polling interval while another caller in this process probes an unavailable store.
constexpr Milliseconds ContactCheckPeriod{100};
/// A watch answered sooner than this found changes already present, without waiting for them.
constexpr Milliseconds ImmediateAnswerLimit{100};
/// The interval between two calls during a burst of changes, in halves of the regular interval. Servers are then
/// followed every 1.2 s, well within the two seconds in which a leaving server must be known.
constexpr int BurstIntervalHalves = 3;
constexpr Milliseconds FirstUnreadableDelay{500};
constexpr Milliseconds MaxUnreadableDelay{5000};

} // namespace

ObjectFollower::ObjectFollower(asio::io_context &context,
                               const tcp::endpoint &platform,
                               std::shared_ptr<const ObjectApiCodec> codec,
                               std::string kind,
                               Milliseconds callInterval,
                               const std::string &host,
                               Dependencies dependencies,
                               Observers observers)
    : m_context(context)
    , m_client(context, platform, codec, CallTimeout)
    , m_watchMonitor(context,
                     platform,
                     std::move(codec),
                     kind,
                     {[this](const PlatformCallError &error) { callFailed(error); }, [this] { watchMissedChanges(); }})
    , m_relayClient(context, kind)
    , m_source(host)
    , m_kind(std::move(kind))
    , m_callInterval(callInterval)
    , m_availability(dependencies.availability)
    , m_relayed(dependencies.relayed)
    , m_observers(std::move(observers))
    , m_random(std::random_device()())
    , m_unreadableBackoff(FirstUnreadableDelay, MaxUnreadableDelay)
{
    m_availability.onUnavailable([this] {
        if (m_isRevisionFromRelay) {
            return;
        }
        // Further changes are unknown, whichever caller found that the store is unavailable.
        m_mustList = true;
        m_relayed.clear();
        reportContact(false, "another call failed");
        abortWatch();
    });
}

void ObjectFollower::start()
{
    spawn(m_context.get_executor(), "kind-follower", follow());
    m_watchMonitor.start();
}

void ObjectFollower::setFailureDomainHosts(const std::vector<RelayHost> &hosts)
{
    m_source.setHosts(hosts);
    const bool isRelay = role() == StoreRole::Relay;
    if (isRelay == m_relayed.isRelaying()) {
        return;
    }
    logEvent(LogLevel::Info, "store-role", {{"kind", m_kind}, {"role", nameOf(role())}});
    m_relayed.setRelaying(isRelay);
    if (isRelay) {
        // A relay must have all objects.
        m_mustList = true;
        abortWatch();
    }
}

void ObjectFollower::abortWatch()
{
    if (m_isWatching) {
        m_isAborted = true;
        m_client.abort();
    }
}

void ObjectFollower::watchMissedChanges()
{
    logEvent(LogLevel::Warning,
             "watch-missed-changes",
             {{"kind", m_kind}, {"era", m_revision.era}, {"revision", m_revision.number}});
    m_mustList = true;
    abortWatch();
}

StoreRole ObjectFollower::role() const
{
    return m_source.role();
}

const StoreRevision &ObjectFollower::revision() const
{
    return m_revision;
}

Task<> ObjectFollower::follow()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        const auto choice = m_source.nextStep(steadyNow());
        auto next = steadyNow() + ContactCheckPeriod;
        if (const auto *wait = std::get_if<WaitUntil>(&choice)) {
            next = wait->until;
        } else if (const auto *call = std::get_if<CallRelay>(&choice)) {
            next = co_await followRelay(call->host);
        } else if (m_availability.tryBeginCall(steadyNow())) {
            next = co_await followStore();
        }
        timer.expires_at(next);
        co_await timer.async_wait(storeError(error));
    }
}

Task<SteadyTime> ObjectFollower::followStore()
{
    const auto startedAt = steadyNow();
    // A watch may only continue from a revision that this host received from the store itself.
    m_mustList = m_mustList || m_isRevisionFromRelay;
    bool succeeded = false;
    if (m_mustList) {
        succeeded = co_await list();
    } else {
        succeeded = co_await watch();
    }
    if (!succeeded) {
        m_source.storeFailed(steadyNow());
        co_return std::max(m_nextStoreCallAt, steadyNow() + ContactCheckPeriod);
    }
    m_source.storeAnswered(steadyNow());
    // Changes that are already present when a watch starts are part of a burst.
    const bool isBurst = steadyNow() - startedAt < ImmediateAnswerLimit;
    co_return startedAt + (isBurst ? m_callInterval * BurstIntervalHalves / 2 : Microseconds(m_callInterval));
}

Task<SteadyTime> ObjectFollower::followRelay(RelayHost relay)
{
    const bool mustList = m_mustList;
    const auto page = co_await m_relayClient.call(relay, mustList ? std::nullopt : std::optional(m_revision));
    if (page.has_error()) {
        switch (page.error()) {
        case RelayCallError::HistoryGone:
            m_mustList = true;
            break;
        case RelayCallError::Declined:
            m_source.relayDeclined(steadyNow());
            break;
        case RelayCallError::NoContact:
            m_source.relayHasNoContact(relay.name, steadyNow());
            break;
        case RelayCallError::Failed:
            logEvent(LogLevel::Warning, "relay-failed", {{"kind", m_kind}, {"relay", relay.name}});
            m_source.relayFailed(relay.name, steadyNow());
            break;
        }
        if (!m_source.hasContact(steadyNow())) {
            reportContact(false, "relays");
        }
        co_return steadyNow();
    }
    m_source.relayAnswered(relay.name);
    reportContact(true, "relayed");
    // A relay that was called earlier may have been ahead of this one. Older revisions are ignored.
    if (page.value().revision < m_revision) {
        co_return steadyNow() + StoreRelay::LongPollTimeout;
    }
    if (!mustList && !continuesHistory(page.value().revision)) {
        co_return steadyNow();
    }
    if (!m_isRevisionFromRelay || mustList) {
        logEvent(LogLevel::Info,
                 "relay-listed",
                 {{"kind", m_kind},
                  {"relay", relay.name},
                  {"era", page.value().revision.era},
                  {"revision", page.value().revision.number}});
    }
    m_isRevisionFromRelay = true;
    m_revision = page.value().revision;
    m_mustList = false;
    mustList ? m_observers.onListed(page.value()) : m_observers.onChanged(page.value());
    co_return steadyNow();
}

Task<bool> ObjectFollower::list()
{
    const auto page = co_await m_client.list(m_kind);
    if (page.has_error()) {
        callFailed(page.error());
        co_return false;
    }
    setContact(true, "listed");
    if (page.value().revision.era < m_revision.era) {
        // The answer was read before the store was restored. The next list shows the new era.
        logEvent(LogLevel::Warning,
                 "store-list-outdated",
                 {{"kind", m_kind}, {"known_era", m_revision.era}, {"era", page.value().revision.era}});
        co_return true;
    }
    logEvent(LogLevel::Info,
             "store-listed",
             {{"kind", m_kind},
              {"objects", page.value().objects.size()},
              {"era", page.value().revision.era},
              {"revision", page.value().revision.number}});
    m_revision = page.value().revision;
    m_mustList = false;
    m_isRevisionFromRelay = false;
    m_relayed.replace(page.value());
    m_observers.onListed(page.value());
    co_return true;
}

Task<bool> ObjectFollower::watch()
{
    m_isWatching = true;
    m_isAborted = false;
    const bool isFallback = role() == StoreRole::Relayed;
    if (!isFallback) {
        m_watchMonitor.watchBegan(m_revision);
    }
    const auto page = co_await m_client.watch(m_kind, m_revision, isFallback ? FallbackWatchTimeout : WatchTimeout);
    m_isWatching = false;
    m_watchMonitor.watchEnded();
    if (page.has_error()) {
        const bool isHistoryGone = page.error().code == PlatformCallErrorCode::HistoryGone;
        const bool isAborted = m_isAborted;
        // A watch continued from the old revision might not deliver the changes that were missed by the broken one.
        m_mustList = true;
        if (isHistoryGone) {
            m_availability.onSuccess();
        } else if (!isAborted) {
            callFailed(page.error());
        }
        co_return isHistoryGone || (isAborted && !m_availability.isUnavailable());
    }
    setContact(true, "watched");
    m_unreadableBackoff.reset();
    if (!continuesHistory(page.value().revision)) {
        co_return true;
    }
    m_revision = page.value().revision;
    m_relayed.apply(page.value());
    m_observers.onChanged(page.value());
    co_return true;
}

bool ObjectFollower::continuesHistory(const StoreRevision &revision)
{
    if (revision.era == m_revision.era && revision.number >= m_revision.number) {
        return true;
    }
    const bool isNewEra = revision.era != m_revision.era;
    logEvent(isNewEra ? LogLevel::Warning : LogLevel::Error,
             isNewEra ? "store-era-changed" : "store-revision-went-back",
             {{"kind", m_kind},
              {"known_era", m_revision.era},
              {"known", m_revision.number},
              {"era", revision.era},
              {"revision", revision.number}});
    m_mustList = true;
    return false;
}

void ObjectFollower::callFailed(const PlatformCallError &error)
{
    if (!error.isAnswer()) {
        setContact(false, error.message());
        return;
    }
    // Other kinds may be readable, so the store counts as available.
    m_availability.onSuccess();
    m_relayed.clear();
    reportContact(false, error.message());
    m_nextStoreCallAt
        = steadyNow() + std::chrono::duration_cast<SteadyTime::duration>(m_unreadableBackoff.next(m_random));
}

void ObjectFollower::setContact(bool contact, std::string_view cause)
{
    if (!contact) {
        m_relayed.clear();
    }
    // Before the other callers are notified, so that the cause is logged with the kind whose call found it.
    reportContact(contact, cause);
    contact ? m_availability.onSuccess() : m_availability.onFailure(steadyNow(), m_random);
}

void ObjectFollower::reportContact(bool contact, std::string_view cause)
{
    if (contact != m_hasContact) {
        logEvent(contact ? LogLevel::Info : LogLevel::Warning,
                 contact ? "store-regained" : "store-lost",
                 {{"kind", m_kind}, {"cause", cause}, {"era", m_revision.era}, {"revision", m_revision.number}});
    }
    m_hasContact = contact;
    m_observers.onContact(contact);
}

} // namespace Cardamomhill
