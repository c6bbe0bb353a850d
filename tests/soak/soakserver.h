#pragma once

#include "soak/documents.h"
#include "soak/faultproxy.h"
#include "soak/stabilitytracker.h"
#include "standins/directbackend.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The address of a backend server, which is that of a proxy, and the instances that serve it one after another.
class SoakServer
{
public:
    /// Notified of each call that runs, with the instance that runs it.
    using RunObserver = std::function<void(const std::string &instance, const HttpRequest &)>;

    SoakServer(asio::io_context &context, std::string name, std::string failureDomain, RunObserver onRun);

    /// Stops the current instance, if any, and starts one with a new id at the same address.
    void startInstance();
    void stopInstance();

    /// The current instance is cold until then.
    void setColdUntil(SteadyTime until);

    /// The registration of the current instance.
    ServerEntry entry() const;
    FaultProxy &link();
    /// Whether the link was disturbed lately.
    StabilityTracker &linkStability();

private:
    asio::io_context &m_context;
    std::string m_name;
    std::string m_failureDomain;
    RunObserver m_onRun;
    FaultProxy m_link;
    StabilityTracker m_linkStability;
    SteadyTime m_coldUntil{};
    /// Includes stopped instances, because their coroutines end later.
    std::vector<std::unique_ptr<DirectBackend>> m_instances;
};

} // namespace Cardamomhill
