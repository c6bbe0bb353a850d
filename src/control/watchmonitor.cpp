#include "control/watchmonitor.h"

#include "net/spawn.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

/// How long the store may hold a short watch open. With the timeout margin of a watch it limits how long a host misses
/// changes.
constexpr Milliseconds CheckInterval{2000};
/// The watch and the short one return the same change at nearly the same time, unless the store is slow.
constexpr Milliseconds DeliveryTime{500};
/// Only limits a wait that a new watch ends.
constexpr Seconds IdleWait{3600};

/// Whether there are changes, or may be: they are unknown once the store has dropped its history or begun a new era, of
/// which it need not tell a watch that it holds open.
bool showsChanges(const Result<ObjectPage, PlatformCallError> &page, const StoreRevision &since)
{
    if (page.has_error()) {
        return page.error().code == PlatformCallErrorCode::HistoryGone;
    }
    const auto &changes = page.value();
    return changes.revision.era != since.era || !changes.objects.empty() || !changes.removed.empty()
        || changes.unreadableCount != 0;
}

} // namespace

WatchMonitor::WatchMonitor(asio::io_context &context,
                           const tcp::endpoint &platform,
                           std::shared_ptr<const ObjectApiCodec> codec,
                           std::string kind,
                           Observers observers)
    : m_context(context)
    , m_client(context, platform, std::move(codec))
    , m_kind(std::move(kind))
    , m_observers(std::move(observers))
    , m_begin(context)
{
}

void WatchMonitor::start()
{
    spawn(m_context.get_executor(), "watch-monitor", run());
}

void WatchMonitor::watchBegan(const StoreRevision &since)
{
    m_watch = Watch{++m_watchCount, since};
    m_begin.notify();
    // A short watch of an earlier watch says nothing about this one.
    m_client.abort();
}

void WatchMonitor::watchEnded()
{
    m_watch.reset();
}

bool WatchMonitor::isInProgress(const Watch &watch) const
{
    return m_watch && m_watch->number == watch.number;
}

Task<> WatchMonitor::run()
{
    for (;;) {
        const auto startedAt = steadyNow();
        if (m_watch) {
            co_await check(*m_watch);
        }
        // A store that doesn't wait must not be called more often.
        co_await m_begin.waitUntil(startedAt + (m_watch ? SteadyTime::duration(CheckInterval) : IdleWait));
    }
}

Task<> WatchMonitor::check(Watch watch)
{
    const auto page = co_await m_client.watchStale(m_kind, watch.since, CheckInterval);
    if (!isInProgress(watch)) {
        co_return;
    }
    if (page.has_error() && !page.error().isAnswer()) {
        m_observers.onUnanswered(page.error());
        co_return;
    }
    if (!showsChanges(page, watch.since)) {
        co_return;
    }
    asio::steady_timer timer(m_context, DeliveryTime);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
    if (isInProgress(watch)) {
        m_observers.onMissedChanges();
    }
}

} // namespace Cardamomhill
