#pragma once

#include "core/clocktypes.h"
#include "traffic/serverchanges.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Cardamomhill
{

/// Constants of ServerRegistry.
struct ServerRegistryOptions {
    /// Servers whose registrations lapsed during an outage of the store register again within two seconds of its end.
    Milliseconds reregistrationGrace{2200};
    /// An outage of the store that outlasts registrations lets all of them lapse. If less than this fraction of them is
    /// missing afterwards, only this host had lost contact, and the missing servers have shut down or ended.
    double minLapsedFraction = 0.5;
};

/// Tracks the backend servers that are registered in the platform's store, and decides which of them may be used.
///
/// A registration that is missing right after an outage of the store may only have lapsed, so its server stays in use
/// for a grace period. At any other time a missing registration means that the server is gone.
class ServerRegistry
{
public:
    explicit ServerRegistry(ServerRegistryOptions options = {});

    /// Replaces the registrations by a complete list from the store.
    void replaceAll(const std::vector<DiscoveredServer> &servers, SteadyTime now);
    /// The same with the first list after the store was restored from an older copy. Servers whose registrations the
    /// copy lacks register again, so they stay in use for a grace period, however few they are.
    void replaceAllAfterRestoration(const std::vector<DiscoveredServer> &servers, SteadyTime now);
    void put(const DiscoveredServer &server);
    void remove(const BackendServerId &id, SteadyTime now);
    /// Removes the server at once, without a grace period: its registration is present but names no server to use.
    void reject(const BackendServerId &id);

    /// Records that the store no longer answers, or that it answers again.
    void onStoreUnavailable();
    void onStoreAvailable(SteadyTime now);

    /// Removes servers whose grace period has ended.
    void removeExpired(SteadyTime now);

    /// Returns the changes since the last call of this function.
    ServerChanges takeChanges();

    std::size_t size() const;

private:
    struct Entry {
        DiscoveredServer server;
        /// End of the grace period of a missing server; max() while it is registered.
        SteadyTime expiresAt = SteadyTime::max();
    };

    /// Adds or updates the listed servers and returns those that are missing in the list.
    std::vector<BackendServerId> putAll(const std::vector<DiscoveredServer> &servers);
    /// Lets a server's use end at the latest at the given time, or at once if it has announced its shutdown, since it
    /// will not register again.
    void expire(const BackendServerId &id, SteadyTime at);
    /// Removes the server at once, without a grace period.
    void drop(const BackendServerId &id);
    bool isInGrace(SteadyTime now) const;

    ServerRegistryOptions m_options;
    std::map<BackendServerId, Entry> m_entries;
    ServerChanges m_changes;
    bool m_hasList = false;
    bool m_hasContact = true;
    SteadyTime m_graceEndsAt{};
};

} // namespace Cardamomhill
