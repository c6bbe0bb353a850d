#pragma once

#include "control/platformclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storeavailability.h"
#include "objectstore/storerole.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Registers this entry host in the platform's store and discovers the other entry hosts there.
class HostDirectory
{
public:
    struct Observers {
        /// Receives the addresses of all other registered hosts after each list.
        std::function<void(const std::vector<tcp::endpoint> &)> onHosts;
        /// The store lists this host. If it had no registration of it before, this is the host's first process.
        std::function<void(bool isFirstProcess)> onRegistered = [](bool) {};
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

private:
    Task<> run();
    Task<> registerHost();
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
};

} // namespace Cardamomhill
