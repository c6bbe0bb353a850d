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

/// The control thread's part of an agent: reports to entry hosts of its failure domain, which give it the configuration
/// in return.
class AgentControl
{
public:
    using Subscriber = std::function<void(const std::shared_ptr<const Configuration> &)>;

    AgentControl(asio::io_context &context,
                 const AgentSettings &settings,
                 MetricsRegistry &metrics,
                 Subscriber subscriber);
    ~AgentControl();

    Result<void, NetError> start();

    void setLoad(const LoadReport &load);

    /// Announces that the backend server takes no new work. Final.
    void leave();

    bool isReady() const;

    std::uint64_t configurationVersion() const;

private:
    Task<> tickLoop();
    void afterEvent();

    asio::io_context &m_context;
    const AgentSettings &m_settings;
    Subscriber m_subscriber;
    AgentReporter m_reporter;
    ControlTransport m_transport;
    ConfigurationBuilder m_builder;
    std::uint64_t m_version = 0;
};

} // namespace Cardamomhill
