#pragma once

#include "control/platformclient.h"
#include "core/clocktypes.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/backoff.h"
#include "objectstore/objectpage.h"
#include "objectstore/storecontact.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Cardamomhill
{

/// Follows all objects of one kind in the platform's store: lists them, then watches for changes, and lists anew when
/// the store's history does not reach back far enough.
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

    /// @param contact shared by all callers of the store in this process; outlives this object
    KindFollower(asio::io_context &context,
                 const tcp::endpoint &platform,
                 std::shared_ptr<const ObjectApiDialect> dialect,
                 std::string kind,
                 Milliseconds callInterval,
                 StoreContact &contact,
                 Observers observers);

    void start();

    /// All changes up to this revision were reported.
    std::uint64_t revision() const;

private:
    Task<> follow();
    Task<bool> list();
    Task<bool> watch();
    void setContact(bool contact, std::string_view cause);

    asio::io_context &m_context;
    PlatformClient m_client;
    std::string m_kind;
    /// Collects changes that come in quick succession into one call.
    Milliseconds m_callInterval;
    StoreContact &m_contact;
    Observers m_observers;
    Random m_random;
    Backoff m_backoff;
    std::uint64_t m_revision = 0;
    bool m_mustList = true;
    bool m_isWatching = false;
    bool m_hasContact = true;
};

} // namespace Cardamomhill
