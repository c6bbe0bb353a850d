#include "control/kindfollower.h"

#include "logging/logging.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <random>

namespace Cardamomhill
{

namespace
{

/// A watch costs one call however long it waits; a silent connection is noticed by its probes.
constexpr Milliseconds WatchWait{30'000};
/// The store answers in milliseconds, or in some hundred when it is slow; a lost connection attempt must not delay the
/// next one for long.
constexpr Milliseconds CallTimeout{1500};
/// While another caller probes a store that is away.
constexpr Milliseconds ContactCheckPeriod{100};
/// An answer of a watch that came without a wait.
constexpr Milliseconds QuickAnswer{100};
/// Halves of the usual interval between two calls during a series of changes. Servers are followed each 1.2 s then,
/// well within the two seconds in which a leaving one must be known.
constexpr int SeriesFactor = 3;
constexpr Milliseconds FirstDelay{100};
constexpr Milliseconds DelayLimit{1000};

} // namespace

KindFollower::KindFollower(asio::io_context &context,
                           const tcp::endpoint &platform,
                           std::shared_ptr<const ObjectApiDialect> dialect,
                           std::string kind,
                           Milliseconds callInterval,
                           StoreContact &contact,
                           Observers observers)
    : m_context(context)
    , m_client(context, platform, std::move(dialect), CallTimeout)
    , m_kind(std::move(kind))
    , m_callInterval(callInterval)
    , m_contact(contact)
    , m_observers(std::move(observers))
    , m_random(std::random_device()())
    , m_backoff(FirstDelay, DelayLimit)
{
    m_contact.onLost([this] {
        if (m_isWatching) {
            m_client.abort();
        }
    });
}

void KindFollower::start()
{
    spawn(m_context.get_executor(), "kind-follower", follow());
}

std::uint64_t KindFollower::revision() const
{
    return m_revision;
}

Task<> KindFollower::follow()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        if (!m_contact.mayCall(steadyNow())) {
            timer.expires_after(ContactCheckPeriod);
            co_await timer.async_wait(storeError(error));
            continue;
        }
        const auto startedAt = steadyNow();
        bool succeeded = false;
        if (m_mustList) {
            succeeded = co_await list();
        } else {
            succeeded = co_await watch();
        }
        if (succeeded) {
            m_backoff.reset();
        }
        // Changes that are already there when a watch begins belong to a longer series of them.
        const bool isSeries = steadyNow() - startedAt < QuickAnswer;
        const auto interval = isSeries ? m_callInterval * SeriesFactor / 2 : Microseconds(m_callInterval);
        const auto next = succeeded ? startedAt + interval : steadyNow() + m_backoff.next(m_random);
        timer.expires_at(next);
        co_await timer.async_wait(storeError(error));
    }
}

Task<bool> KindFollower::list()
{
    const auto page = co_await m_client.list(m_kind);
    if (page.has_error()) {
        setContact(false, page.error().message());
        co_return false;
    }
    setContact(true, "listed");
    logEvent(LogLevel::Info,
             "store-listed",
             {{"kind", m_kind}, {"objects", page.value().objects.size()}, {"revision", page.value().revision}});
    m_revision = page.value().revision;
    m_mustList = false;
    m_observers.onListed(page.value());
    co_return true;
}

Task<bool> KindFollower::watch()
{
    m_isWatching = true;
    const auto page = co_await m_client.watch(m_kind, m_revision, WatchWait);
    m_isWatching = false;
    if (page.has_error()) {
        const bool isHistoryGone = page.error().code == PlatformCallErrorCode::HistoryGone;
        // A watch that is resumed from the old revision may wait without the changes that the broken one missed.
        m_mustList = true;
        if (isHistoryGone) {
            m_contact.succeeded();
        } else {
            setContact(false, page.error().message());
        }
        co_return isHistoryGone;
    }
    setContact(true, "watched");
    if (page.value().revision < m_revision) {
        logEvent(LogLevel::Error,
                 "store-revision-went-back",
                 {{"kind", m_kind}, {"known", m_revision}, {"revision", page.value().revision}});
        m_mustList = true;
        co_return true;
    }
    m_revision = page.value().revision;
    m_observers.onChanged(page.value());
    co_return true;
}

void KindFollower::setContact(bool contact, std::string_view cause)
{
    if (contact != m_hasContact) {
        logEvent(contact ? LogLevel::Info : LogLevel::Warning,
                 contact ? "store-regained" : "store-lost",
                 {{"kind", m_kind}, {"cause", cause}, {"revision", m_revision}});
    }
    m_hasContact = contact;
    contact ? m_contact.succeeded() : m_contact.failed(steadyNow(), m_random);
    m_observers.onContact(contact);
}

} // namespace Cardamomhill
