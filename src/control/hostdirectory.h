#pragma once

#include "control/platformclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storecontact.h"

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
};

} // namespace Cardamomhill
