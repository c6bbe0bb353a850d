#pragma once

#include "control/platformclient.h"
#include "net/asio.h"
#include "net/notification.h"
#include "objectstore/storerevision.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Notices that a watch of the platform's store will not be answered: its answer was lost, or the store accepted the
/// request while it answered none, or the store has begun a new era, in which it reaches the watch's revision only
/// later. Such a watch looks like one without changes until its long timeout.
///
/// Each watch is accompanied by short, cheap ones from the same revision on another connection. The first of them meets
/// the store in the same state as the watch does.
class WatchMonitor
{
public:
    struct Observers {
        /// The store has not answered the short watch.
        std::function<void(const PlatformCallError &)> onUnanswered;
        /// There are changes that the watch has not returned, or the store no longer knows whether there are any.
        std::function<void()> onMissedChanges;
    };

    WatchMonitor(asio::io_context &context,
                 const tcp::endpoint &platform,
                 std::shared_ptr<const ObjectApiCodec> codec,
                 std::string kind,
                 Observers observers);

    void start();

    /// Notes that a watch from this revision is sent.
    void watchBegan(const StoreRevision &since);
    /// Notes that the watch is over, answered or not.
    void watchEnded();

private:
    /// A watch in progress.
    struct Watch {
        std::uint64_t number = 0;
        StoreRevision since;
    };

    Task<> run();
    Task<> check(Watch watch);
    bool isInProgress(const Watch &watch) const;

    asio::io_context &m_context;
    PlatformClient m_client;
    std::string m_kind;
    Observers m_observers;
    std::optional<Watch> m_watch;
    std::uint64_t m_watchCount = 0;
    /// Notified when a watch begins.
    Notification m_begin;
};

} // namespace Cardamomhill
