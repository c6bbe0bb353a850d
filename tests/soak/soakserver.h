#pragma once

#include "soak/documents.h"
#include "soak/faultproxy.h"
#include "standins/directbackend.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// A place for a backend server: its address, which is a proxy, and the instances that have it one after the other.
class SoakServer
{
public:
    /// Told of each run, with the instance that runs it.
    using RunObserver = std::function<void(const std::string &instance, const HttpRequest &)>;

    SoakServer(asio::io_context &context, std::string name, RunObserver onRun);

    /// Ends the present instance, if any, and starts a new one at the same address under another id.
    void startInstance();
    void stopInstance();

    /// The registration of the present instance.
    ServerEntry entry() const;
    FaultProxy &link();

private:
    asio::io_context &m_context;
    std::string m_name;
    RunObserver m_onRun;
    FaultProxy m_link;
    /// Ended instances too: their connections end a little later.
    std::vector<std::unique_ptr<DirectBackend>> m_instances;
};

} // namespace Cardamomhill
