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
    /// Registrations that lapsed while the platform was away come back within two seconds of its return.
    Milliseconds returnGrace{2200};
    /// An outage that outlasts registrations lets all of them lapse. When fewer than this part of them are missing
    /// after it, those servers left or ended while this host alone had no contact.
    double leastLapsedPart = 0.5;
};

/// The registered backend servers as the platform's store shows them, and which of them may be used.
///
/// A registration that is missing right after an outage of the store may only have lapsed, so its server stays in use
/// for a grace period. At any other time a missing registration means that the server is gone.
class ServerRegistry
{
public:
    explicit ServerRegistry(ServerRegistryOptions options = {});

    /// Takes all registrations there are.
    void replaceAll(const std::vector<DiscoveredServer> &servers, SteadyTime now);
    void put(const DiscoveredServer &server);
    void remove(const BackendServerId &id, SteadyTime now);

    /// The store did not answer, or answers again.
    void contactLost();
    void contactRegained(SteadyTime now);

    /// Drops servers whose grace period has ended.
    void tick(SteadyTime now);

    /// The changes since the last call.
    ServerChanges takeChanges();

    std::size_t size() const;

private:
    struct Entry {
        DiscoveredServer server;
        /// When a missing server is taken as gone; max() while it is registered.
        SteadyTime goneAt = SteadyTime::max();
    };

    void drop(const BackendServerId &id);
    bool isInGrace(SteadyTime now) const;

    ServerRegistryOptions m_options;
    std::map<BackendServerId, Entry> m_entries;
    ServerChanges m_changes;
    bool m_hasContact = true;
    SteadyTime m_graceEnds{};
};

} // namespace Cardamomhill
