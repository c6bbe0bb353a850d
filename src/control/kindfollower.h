#pragma once

#include "control/platformclient.h"
#include "control/relayclient.h"
#include "core/clocktypes.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/objectpage.h"
#include "objectstore/storecontact.h"
#include "objectstore/storesource.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class RelayedKind;

/// Follows all objects of one kind in the platform's store: lists them, then watches for changes, and lists anew when
/// the store's history does not reach back far enough. In a large fleet most hosts do so through a relay.
class KindFollower
{
public:
    struct Observers {
        /// Every object of the kind.
        std::function<void(const ObjectPage &)> onListed;
        std::function<void(const ObjectPage &)> onChanged;
        /// The store does not answer, or answers again.
        std::function<void(bool)> onContact;
    };

    /// What this object uses and does not own.
    struct Surroundings {
        /// Shared by all callers of the store in this process.
        StoreContact &contact;
        /// Passes the objects on while this host is a relay.
        RelayedKind &relayed;
    };

    KindFollower(asio::io_context &context,
                 const tcp::endpoint &platform,
                 std::shared_ptr<const ObjectApiDialect> dialect,
                 std::string kind,
                 Milliseconds callInterval,
                 const std::string &host,
                 Surroundings surroundings,
                 Observers observers);

    void start();

    /// The live hosts of the own failure domain without this one.
    void setDomainHosts(const std::vector<RelayHost> &hosts);

    StoreRole role() const;

    /// All changes up to this revision were reported.
    std::uint64_t revision() const;

private:
    Task<> follow();
    /// One call to the store or to a relay. Returns when to go on.
    Task<SteadyTime> followStore();
    Task<SteadyTime> followRelay(RelayHost relay);
    Task<bool> list();
    Task<bool> watch();
    /// Ends a watch that waits. Its failure says nothing of the store.
    void abortWatch();
    /// The store itself answered, or did not.
    void setContact(bool contact, std::string_view cause);
    void reportContact(bool contact, std::string_view cause);

    asio::io_context &m_context;
    PlatformClient m_client;
    RelayClient m_relayClient;
    StoreSource m_source;
    std::string m_kind;
    /// Collects changes that come in quick succession into one call.
    Milliseconds m_callInterval;
    StoreContact &m_contact;
    RelayedKind &m_relayed;
    Observers m_observers;
    Random m_random;
    std::uint64_t m_revision = 0;
    bool m_mustList = true;
    bool m_isWatching = false;
    bool m_hasContact = true;
    /// Whether m_revision was told by a relay.
    bool m_isRelayed = false;
    /// The watch was ended by this process itself.
    bool m_isAborted = false;
};

} // namespace Cardamomhill
