#pragma once

#include "config/configurationbuilder.h"
#include "control/controltransport.h"
#include "core/loadreport.h"
#include "membership/agentreporter.h"
#include "net/asio.h"

#include <functional>
#include <memory>
#include <vector>

namespace Cardamomhill
{

class Configuration;
class MetricsRegistry;
struct AgentSettings;

/// Runs on the control thread of an agent. Reports the load of its backend server to entry hosts of its failure domain
/// and receives the configuration from them.
class AgentControl
{
public:
    /// Receives each new configuration.
    using Subscriber = std::function<void(const std::shared_ptr<const Configuration> &)>;

    AgentControl(asio::io_context &context,
                 const AgentSettings &settings,
                 MetricsRegistry &metrics,
                 Subscriber subscriber);
    ~AgentControl();

    Result<void, NetError> start();

    void setLoad(const LoadReport &load);

    /// Announces that the backend server accepts no new requests. Cannot be undone.
    void leave();

    /// Whether a complete configuration was received.
    bool isReady() const;

    std::uint64_t configurationVersion() const;

private:
    Task<> tickLoop();
    /// Sends the queued messages and applies objects that came into force. Called after each event.
    void processPending();

    asio::io_context &m_context;
    const AgentSettings &m_settings;
    Subscriber m_subscriber;
    AgentReporter m_reporter;
    ControlTransport m_transport;
    ConfigurationBuilder m_builder;
    std::uint64_t m_version = 0;
};

} // namespace Cardamomhill
