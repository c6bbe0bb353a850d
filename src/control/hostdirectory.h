#pragma once

#include "control/platformclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storecontact.h"
#include "objectstore/storerole.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Registers this entry host in the platform's store, and finds the others there.
class HostDirectory
{
public:
    using Observer = std::function<void(const std::vector<tcp::endpoint> &)>;

    HostDirectory(asio::io_context &context,
                  const tcp::endpoint &platform,
                  std::shared_ptr<const ObjectApiDialect> objectApi,
                  std::string host,
                  tcp::endpoint address,
                  StoreContact &contact,
                  Observer onHosts);

    void start();

    /// A host that learns of the store's changes through another need not ask the store often, and one that tells
    /// others of them asks the more often, so that it notices soon when the store falls silent.
    void setRole(StoreRole role);

private:
    Task<> run();
    Task<bool> enter();
    Task<> list();

    asio::io_context &m_context;
    PlatformClient m_client;
    std::string m_host;
    tcp::endpoint m_address;
    StoreContact &m_contact;
    Random m_random;
    Observer m_onHosts;
    /// The store's list has this host at its present address.
    bool m_isEntered = false;
    StoreRole m_role = StoreRole::Direct;
};

} // namespace Cardamomhill
