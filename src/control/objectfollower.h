#pragma once

#include "control/platformclient.h"
#include "control/relayclient.h"
#include "control/watchmonitor.h"
#include "core/clocktypes.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/backoff.h"
#include "objectstore/objectpage.h"
#include "objectstore/storeavailability.h"
#include "objectstore/storerevision.h"
#include "objectstore/storesource.h"

#include <functional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class RelayedKind;

/// Follows all objects of one kind in the platform's store: lists them, then watches for changes, and lists them again
/// when the store's history no longer covers the last known revision. In a large failure domain most hosts do this
/// through a relay, another host that follows the store for them.
class ObjectFollower
{
public:
    struct Observers {
        /// Receives all objects of the kind.
        std::function<void(const ObjectPage &)> onListed;
        /// Receives the changes since the last page.
        std::function<void(const ObjectPage &)> onChanged;
        /// Receives whether the store is reachable, directly or through a relay; may repeat the same value.
        std::function<void(bool)> onContact;
    };

    /// Objects used by this one, which must outlive it.
    struct Dependencies {
        /// Whether the store answers; shared by all its callers in this process.
        StoreAvailability &availability;
        /// Serves the objects to other hosts while this host is a relay.
        RelayedKind &relayed;
    };

    ObjectFollower(asio::io_context &context,
                   const tcp::endpoint &platform,
                   std::shared_ptr<const ObjectApiCodec> codec,
                   std::string kind,
                   Milliseconds callInterval,
                   const std::string &host,
                   Dependencies dependencies,
                   Observers observers);

    void start();

    /// Sets the live hosts of this host's failure domain, without this host.
    void setFailureDomainHosts(const std::vector<RelayHost> &hosts);

    StoreRole role() const;

    /// The revision up to which all changes were reported to the observers.
    const StoreRevision &revision() const;

private:
    Task<> follow();
    /// Makes one call to the store or to a relay and returns when to make the next one.
    Task<SteadyTime> followStore();
    Task<SteadyTime> followRelay(RelayHost relay);
    Task<bool> list();
    Task<bool> watch();
    /// Whether changes that were read at a revision follow those known to this host. If not, all objects are listed.
    bool continuesHistory(const StoreRevision &revision);
    /// Ends a watch that has not returned changes which exist, and lists all objects instead.
    void watchMissedChanges();
    /// Ends a watch in progress. Its failure does not count as a failure of the store.
    void abortWatch();
    /// Records whether a call to the store itself was answered, and reports it.
    void setContact(bool contact, std::string_view cause);
    void reportContact(bool contact, std::string_view cause);
    /// Records that a call to the store failed, or that its answer cannot be read.
    void callFailed(const PlatformCallError &error);

    asio::io_context &m_context;
    PlatformClient m_client;
    WatchMonitor m_watchMonitor;
    RelayClient m_relayClient;
    StoreSource m_source;
    std::string m_kind;
    /// Minimum time between the starts of two calls, so that changes in quick succession need only one call.
    Milliseconds m_callInterval;
    StoreAvailability &m_availability;
    RelayedKind &m_relayed;
    Observers m_observers;
    Random m_random;
    /// Delays calls after answers that cannot be read. Every such call is charged and would be answered in the same
    /// way.
    Backoff m_unreadableBackoff;
    SteadyTime m_nextStoreCallAt{};
    StoreRevision m_revision;
    bool m_mustList = true;
    bool m_isWatching = false;
    /// The last value reported to Observers::onContact.
    bool m_hasContact = true;
    /// Whether m_revision was received from a relay.
    bool m_isRevisionFromRelay = false;
    /// Whether abortWatch() ended the last watch.
    bool m_isAborted = false;
};

} // namespace Cardamomhill
