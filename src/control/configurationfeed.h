#pragma once

#include "config/configurationbuilder.h"
#include "control/platformclient.h"
#include "net/asio.h"

#include <functional>
#include <memory>

namespace Cardamomhill
{

class Configuration;

/// Follows the platform's objects on the control thread and publishes each new configuration.
class ConfigurationFeed
{
public:
    using Subscriber = std::function<void(std::shared_ptr<const Configuration>)>;

    ConfigurationFeed(asio::io_context &context, const tcp::endpoint &platform, Subscriber subscriber);

    void start();

    /// A complete configuration has been received at least once.
    bool isReady() const;

private:
    Task<> follow();
    Task<bool> listAll();
    Task<bool> watchOnce();
    void apply(const PlatformClient::Objects &objects);

    asio::io_context &m_context;
    PlatformClient m_client;
    Subscriber m_subscriber;
    ConfigurationBuilder m_builder;
    std::uint64_t m_revision = 0;
    bool m_isReady = false;
};

} // namespace Cardamomhill
