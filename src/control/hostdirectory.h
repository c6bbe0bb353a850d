#pragma once

#include "control/platformclient.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storeavailability.h"
#include "objectstore/storerole.h"
#include "traffic/blockedpart.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Registers this entry host in the platform's store and discovers the other entry hosts there. The registrations also
/// keep the parts of prompts that hosts have blocked, so that these are known after all hosts have restarted.
class HostDirectory
{
public:
    struct Observers {
        /// Receives the addresses of all other registered hosts after each list.
        std::function<void(const std::vector<tcp::endpoint> &)> onHosts;
        /// The store lists this host. If it had no registration of it before, this is the host's first process.
        std::function<void(bool isFirstProcess)> onRegistered = [](bool) {};
        /// Receives the parts of prompts that the registrations of hosts keep, if there are some in the first list.
        std::function<void(const std::vector<BlockedPart> &)> onBlockedParts = [](const auto &) {};
        /// Receives the names of all registered hosts after each list and after onHosts. Unlike addresses, they also
        /// tell hosts apart that listen at the unspecified address.
        std::function<void(const std::set<HostId> &)> onHostNames = [](const auto &) {};
    };

    HostDirectory(asio::io_context &context,
                  const tcp::endpoint &platform,
                  std::shared_ptr<const ObjectApiCodec> objectApi,
                  std::string host,
                  tcp::endpoint address,
                  StoreAvailability &availability,
                  Observers observers);

    void start();

    /// Sets how often the store is called: rarely by a host that learns of changes through a relay, and most often by a
    /// relay, which others depend on and which must soon notice an unresponsive store.
    void setStoreRole(StoreRole role);

    /// Keeps parts of prompts that are blocked in the registration of this host, in place of earlier ones.
    void setBlockedParts(const std::vector<BlockedPart> &parts);

private:
    Task<> run();
    Task<> registerHost();
    /// Repeats registerHost() until the blocked parts are stored.
    Task<> storeBlockedParts();
    std::string registration() const;
    void setRegistered(bool isFirstProcess);
    Task<> list();

    asio::io_context &m_context;
    PlatformClient m_client;
    std::string m_host;
    tcp::endpoint m_address;
    StoreAvailability &m_availability;
    Random m_random;
    Observers m_observers;
    /// Whether the store lists this host at its current address.
    bool m_isRegistered = false;
    StoreRole m_role = StoreRole::Direct;
    bool m_hasListed = false;
    /// The blocked parts and when each block ends, by the clock of the host, since it has to outlive the process.
    std::map<std::string, WallTime> m_blockedParts;
    /// Whether the registration in the store has m_blockedParts.
    bool m_areBlockedPartsStored = true;
    bool m_isStoringBlockedParts = false;
};

} // namespace Cardamomhill
